//! Keys that sign bundles, and trusted public keys.

use std::collections::BTreeMap;
use std::fmt;

use ed25519_dalek::{SigningKey, VerifyingKey};

/// Error about an unusable key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text is not 64 hexadecimal digits.
    #[error("key `{key_id}` is not 64 hexadecimal digits")]
    NotHex {
        /// Name of the key.
        key_id: String,
    },
    /// The bytes are not an ed25519 public key, or are a weak key that accepts forged signatures.
    #[error("key `{key_id}` is not a usable ed25519 public key")]
    InvalidPublicKey {
        /// Name of the key.
        key_id: String,
    },
}

/// A named private key. Its debug form hides the secret.
#[derive(Clone)]
pub struct BundleKey {
    key_id: String,
    signing: SigningKey,
}

impl fmt::Debug for BundleKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("BundleKey")
            .field("key_id", &self.key_id)
            .finish_non_exhaustive()
    }
}

impl BundleKey {
    /// Creates a key from 32 secret bytes, which the caller draws from the system's source of
    /// randomness.
    pub fn from_secret(key_id: &str, secret: &[u8; 32]) -> Self {
        Self {
            key_id: key_id.to_owned(),
            signing: SigningKey::from_bytes(secret),
        }
    }

    /// Creates a key from its secret in hexadecimal.
    pub fn from_secret_hex(key_id: &str, secret: &str) -> Result<Self, KeyError> {
        Ok(Self::from_secret(key_id, &decode(key_id, secret)?))
    }

    /// Returns the name of the key.
    pub fn key_id(&self) -> &str {
        &self.key_id
    }

    /// Returns the secret in hexadecimal, for the key file only.
    pub fn secret_hex(&self) -> String {
        hex::encode(self.signing.to_bytes())
    }

    /// Returns the public key in hexadecimal, as used in the daemons' settings.
    pub fn public_hex(&self) -> String {
        hex::encode(self.signing.verifying_key().to_bytes())
    }

    pub(super) fn signing(&self) -> &SigningKey {
        &self.signing
    }
}

/// Public keys whose signatures on bundles are trusted, by key id. Several are trusted during a key
/// rotation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrustedKeys {
    keys: BTreeMap<String, VerifyingKey>,
}

impl TrustedKeys {
    /// Parses public keys in hexadecimal by key id.
    ///
    /// # Errors
    /// The errors of all invalid keys.
    pub fn from_hex(keys: &BTreeMap<String, String>) -> Result<Self, Vec<KeyError>> {
        let mut trusted = Self::default();
        let mut errors = Vec::new();
        for (key_id, text) in keys {
            match public_key(key_id, text) {
                Ok(key) => drop(trusted.keys.insert(key_id.clone(), key)),
                Err(error) => errors.push(error),
            }
        }
        if errors.is_empty() {
            return Ok(trusted);
        }
        Err(errors)
    }

    /// Returns the names of the keys.
    pub fn key_ids(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(String::as_str)
    }

    pub(super) fn find(&self, key_id: &str) -> Option<&VerifyingKey> {
        self.keys.get(key_id)
    }
}

fn public_key(key_id: &str, text: &str) -> Result<VerifyingKey, KeyError> {
    let bytes = decode(key_id, text)?;
    let key = VerifyingKey::from_bytes(&bytes).ok();
    key.filter(|key| !key.is_weak())
        .ok_or_else(|| KeyError::InvalidPublicKey {
            key_id: key_id.to_owned(),
        })
}

fn decode(key_id: &str, text: &str) -> Result<[u8; 32], KeyError> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).map_err(|_| KeyError::NotHex {
        key_id: key_id.to_owned(),
    })?;
    Ok(bytes)
}
