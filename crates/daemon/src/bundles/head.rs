//! Head record: the newest bundle in the key-value service.

use ladderstage::bundle::{Bundle, BundleError, Digest, TrustedKeys, digest, verify};
use ladderstage_platform::key_value::{KeyValue, KeyValueEntry, KeyValueError};
use ladderstage_wire::messages::SignedBundle;
use ladderstage_wire::{DecodeError, decode};

/// Key of the head record.
pub(super) const HEAD_KEY: &str = "ladderstage/bundle/head";

/// Error of reading the head record.
#[derive(Debug, thiserror::Error)]
pub(super) enum HeadError {
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    #[error("head record: {0}")]
    Decode(#[from] DecodeError),
    #[error("head record: {0}")]
    Bundle(#[from] BundleError),
}

/// Verified head record.
#[derive(Debug, Clone)]
pub(super) struct Head {
    pub(super) mod_revision: u64,
    pub(super) bundle: Bundle,
    pub(super) signed: SignedBundle,
}

impl Head {
    pub(super) fn parse(entry: &KeyValueEntry, trusted: &TrustedKeys) -> Result<Self, HeadError> {
        let signed: SignedBundle = decode(&entry.value)?;
        let bundle = verify(&signed, trusted)?;
        Ok(Self {
            mod_revision: entry.mod_revision,
            bundle,
            signed,
        })
    }

    pub(super) fn digest(&self) -> Digest {
        digest(&self.signed.text)
    }
}

/// Reads the head record, not older than the start of this call. `None` if no bundle was ever rolled.
pub(super) async fn read(
    key_value: &KeyValue,
    trusted: &TrustedKeys,
) -> Result<Option<Head>, HeadError> {
    let entry = key_value.get_linearizable(HEAD_KEY).await?;
    entry.map(|entry| Head::parse(&entry, trusted)).transpose()
}
