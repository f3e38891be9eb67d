//! Reads and writes key files, bundle texts and signed bundles.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;

use ladderstage::bundle::{BundleKey, MAX_TEXT_BYTES};
use ladderstage_wire::messages::{BundleSignature, SignedBundle};
use serde::{Deserialize, Serialize};

use crate::error::CliError;

/// Permissions of a key file: readable and writable by its owner only.
const KEY_FILE_MODE: u32 = 0o600;

/// Permission bits that a key file must not have: any access by group and others.
const FORBIDDEN_MODE_BITS: u32 = 0o077;

/// Maximum length in bytes of a file. Larger than a text, as a signed bundle holds its text escaped as JSON.
const MAX_FILE_BYTES: u64 = 4 * MAX_TEXT_BYTES as u64;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    key_id: String,
    secret: String,
}

fn input_error(path: &Path, detail: impl std::fmt::Display) -> CliError {
    CliError::Input(format!("{}: {detail}", path.display()))
}

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, CliError> {
    let file = File::open(path).map_err(|error| input_error(path, error))?;
    let mut text = String::new();
    let mut limited = file.take(MAX_FILE_BYTES + 1);
    limited
        .read_to_string(&mut text)
        .map_err(|error| input_error(path, error))?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(input_error(
            path,
            format!("longer than {MAX_FILE_BYTES} bytes"),
        ));
    }
    Ok(text)
}

/// Writes a new key file. Fails if the file exists.
pub fn write_key(path: &Path, key: &BundleKey) -> Result<(), CliError> {
    let content = KeyFile {
        key_id: key.key_id().to_owned(),
        secret: key.secret_hex(),
    };
    let text = toml::to_string(&content).map_err(|error| input_error(path, error))?;
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(KEY_FILE_MODE);
    let mut file = options
        .open(path)
        .map_err(|error| input_error(path, error))?;
    let written = file
        .write_all(text.as_bytes())
        .and_then(|()| file.sync_all());
    written.map_err(|error| input_error(path, error))
}

/// Reads a key file, which only its owner may have access to. Errors do not contain its content.
pub fn read_key(path: &Path) -> Result<BundleKey, CliError> {
    let mut file = File::open(path).map_err(|error| input_error(path, error))?;
    let metadata = file.metadata().map_err(|error| input_error(path, error))?;
    let mode = metadata.permissions().mode() & 0o777;
    if !metadata.is_file() || mode & FORBIDDEN_MODE_BITS != 0 {
        let detail = format!(
            "permissions are {mode:04o}; allowed: a file that only its owner may access, as after `chmod 0600`"
        );
        return Err(input_error(path, detail));
    }
    let mut text = String::new();
    file.read_to_string(&mut text)
        .map_err(|error| input_error(path, error))?;
    let invalid_key_error = || {
        input_error(
            path,
            "not a key file; expected a file written by `ladderstage keygen`",
        )
    };
    let content: KeyFile = toml::from_str(&text).map_err(|_| invalid_key_error())?;
    BundleKey::from_secret_hex(&content.key_id, &content.secret).map_err(|_| invalid_key_error())
}

/// Signed bundle as a file, which is also the body of `POST /v1/bundles`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedFile {
    /// Signed text.
    pub text: String,
    /// Signatures of the text.
    pub signatures: Vec<SignatureEntry>,
}

/// Signature of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignatureEntry {
    /// Id of the key that made the signature.
    pub key_id: String,
    /// Signature of 64 bytes in hexadecimal.
    pub signature: String,
}

impl SignedFile {
    /// Reads a signed bundle.
    pub fn read(path: &Path) -> Result<Self, CliError> {
        let text = read_text(path)?;
        serde_json::from_str(&text).map_err(|error| {
            let detail = format!(
                "not a signed bundle ({error}); expected a file written by `ladderstage bundle sign`"
            );
            input_error(path, detail)
        })
    }

    /// Reads a signed bundle, or a text that has no signatures yet.
    pub fn read_or_unsigned(path: &Path) -> Result<Self, CliError> {
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            return Self::read(path);
        }
        Ok(Self {
            text: read_text(path)?,
            signatures: Vec::new(),
        })
    }

    /// Writes the signed bundle, replacing an existing file.
    pub fn write(&self, path: &Path) -> Result<(), CliError> {
        let text = serde_json::to_string_pretty(self).map_err(|error| input_error(path, error))?;
        std::fs::write(path, text).map_err(|error| input_error(path, error))
    }

    /// Converts the bundle into a message.
    ///
    /// # Errors
    /// [`CliError::Input`] if a signature is not hexadecimal.
    pub fn to_message(&self) -> Result<SignedBundle, CliError> {
        let mut signatures = Vec::new();
        for entry in &self.signatures {
            let signature = hex::decode(&entry.signature).map_err(|error| {
                CliError::Input(format!("signature by `{}`: {error}", entry.key_id))
            })?;
            signatures.push(BundleSignature {
                key_id: entry.key_id.clone(),
                signature,
            });
        }
        Ok(SignedBundle {
            text: self.text.clone().into_bytes(),
            signatures,
            proposal_id: String::new(),
        })
    }
}
