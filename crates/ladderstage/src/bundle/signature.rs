//! Signatures and digests of bundles.

use std::fmt;

use ed25519_dalek::{Signature, Signer};
use ladderstage_wire::messages::{BundleSignature, SignedBundle};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::document::{BundleDocument, MAX_TEXT_BYTES};
use super::key::{BundleKey, TrustedKeys};
use super::model::Bundle;
use crate::document::Finding;

/// Prefix of the signed bytes, so that signatures made for other purposes are not valid for
/// bundles.
const SIGNATURE_CONTEXT: &[u8] = b"ladderstage bundle v1\0";

/// Maximum number of signatures of a bundle.
const MAX_SIGNATURES: usize = 16;

/// Reason why a signed bundle is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BundleError {
    /// No signature is by a trusted key.
    #[error("no signature by a trusted key; signed by: {}", .key_ids.join(", "))]
    NotTrusted {
        /// Key ids of the signatures.
        key_ids: Vec<String>,
    },
    /// A signature by a trusted key does not match the text.
    #[error("the signature by key `{key_id}` does not fit the text")]
    BadSignature {
        /// Key id of the signature.
        key_id: String,
    },
    /// The text or the number of signatures exceeds its limit.
    #[error("bundle exceeds {MAX_TEXT_BYTES} bytes of text or {MAX_SIGNATURES} signatures")]
    TooLarge,
    /// The text is not UTF-8.
    #[error("the text is not UTF-8 from byte {valid_up_to}")]
    NotUtf8 {
        /// Offset of the first invalid byte.
        valid_up_to: usize,
    },
    /// The text cannot be parsed.
    #[error("{} findings, first: {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
    Findings(Vec<Finding>),
}

/// SHA-256 of a bundle's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

/// Returns the digest of a bundle's text.
pub fn digest(text: &[u8]) -> Digest {
    Digest(Sha256::digest(text).into())
}

/// Signs a bundle's text.
pub fn sign(text: &str, key: &BundleKey) -> BundleSignature {
    let signature = key.signing().sign(&signed_bytes(text.as_bytes()));
    BundleSignature {
        key_id: key.key_id().to_owned(),
        signature: signature.to_bytes().to_vec(),
    }
}

/// Verifies the signatures, then parses the text without cross-checks (see
/// [`BundleDocument::into_bundle`]).
///
/// One trusted signature is enough, and signatures by unknown keys are ignored, so that keys can be
/// rotated. A wrong signature under the id of a trusted key refuses the bundle even if other
/// signatures are valid.
///
/// # Errors
/// [`BundleError`] if the bundle is refused.
pub fn verify(signed: &SignedBundle, trusted: &TrustedKeys) -> Result<Bundle, BundleError> {
    if signed.text.len() > MAX_TEXT_BYTES || signed.signatures.len() > MAX_SIGNATURES {
        return Err(BundleError::TooLarge);
    }
    verify_signatures(signed, trusted)?;
    let text = std::str::from_utf8(&signed.text).map_err(|error| BundleError::NotUtf8 {
        valid_up_to: error.valid_up_to(),
    })?;
    BundleDocument::read("bundle", text)
        .into_bundle()
        .map_err(BundleError::Findings)
}

fn verify_signatures(signed: &SignedBundle, trusted: &TrustedKeys) -> Result<(), BundleError> {
    let message = signed_bytes(&signed.text);
    let mut is_trusted = false;
    for signature in &signed.signatures {
        let Some(key) = trusted.find(&signature.key_id) else {
            continue;
        };
        let parsed = Signature::from_slice(&signature.signature);
        let verified = parsed.and_then(|parsed| key.verify_strict(&message, &parsed));
        if verified.is_err() {
            return Err(BundleError::BadSignature {
                key_id: signature.key_id.clone(),
            });
        }
        is_trusted = true;
    }
    if is_trusted {
        return Ok(());
    }
    let key_ids = signed
        .signatures
        .iter()
        .map(|signature| signature.key_id.clone());
    Err(BundleError::NotTrusted {
        key_ids: key_ids.collect(),
    })
}

fn signed_bytes(text: &[u8]) -> Vec<u8> {
    [SIGNATURE_CONTEXT, text].concat()
}
