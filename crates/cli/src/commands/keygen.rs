//! `ladderstage keygen`

use std::fmt;
use std::path::PathBuf;

use ladderstage::bundle::BundleKey;
use serde::Serialize;

use crate::arguments::Invocation;
use crate::error::CliError;
use crate::{files, output};

#[derive(Serialize)]
struct NewKey {
    key_id: String,
    public_key: String,
    file: PathBuf,
}

impl fmt::Display for NewKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "Key written to {}. Each daemon's settings need:\n",
            self.file.display()
        )?;
        writeln!(formatter, "[trusted_keys]")?;
        writeln!(formatter, "{} = \"{}\"", self.key_id, self.public_key)
    }
}

/// Creates a key for signing bundles.
pub fn run(invocation: &mut Invocation) -> Result<(), CliError> {
    let key_id = invocation.required("--id")?;
    let file = PathBuf::from(invocation.required("--out")?);
    invocation.finish()?;
    let is_plain = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    if key_id.is_empty() || !key_id.chars().all(is_plain) {
        let detail = format!("invalid key id {key_id:?}; allowed: letters, digits, '-' and '_'");
        return Err(CliError::Usage(detail));
    }
    let key = BundleKey::from_secret(&key_id, &rand::random());
    files::write_key(&file, &key)?;
    let new_key = NewKey {
        public_key: key.public_hex(),
        key_id,
        file,
    };
    output::print(invocation.json, &new_key);
    Ok(())
}
