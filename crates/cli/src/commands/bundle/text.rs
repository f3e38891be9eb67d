//! Commands on bundle files: `check`, `diff`, `sign`, `verify`.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use ladderstage::bundle::{
    Bundle, BundleDocument, CheckContext, Difference, TrustedKeys, compare, digest, parse_file,
};
use serde::Serialize;

use crate::arguments::Invocation;
use crate::client::CurrentBundle;
use crate::error::CliError;
use crate::files::{self, SignatureEntry, SignedFile};
use crate::output;

/// File extension of signed bundles.
const SIGNED_EXTENSION: &str = "signed.json";

#[derive(Serialize)]
struct CheckReport {
    file: PathBuf,
    revision: u64,
    digest: String,
    /// Key ids of the signatures.
    signed_by: Vec<String>,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: revision {}, no findings, digest {}",
            self.file.display(),
            self.revision,
            self.digest
        )?;
        if !self.signed_by.is_empty() {
            write!(formatter, ", signed by {}", self.signed_by.join(", "))?;
        }
        Ok(())
    }
}

fn check_report(path: &Path, bundle: &Bundle, signed: &SignedFile) -> CheckReport {
    CheckReport {
        file: path.to_owned(),
        revision: bundle.revision,
        digest: digest(signed.text.as_bytes()).to_string(),
        signed_by: signed
            .signatures
            .iter()
            .map(|entry| entry.key_id.clone())
            .collect(),
    }
}

/// Prints all problems of a bundle.
pub async fn check(invocation: &mut Invocation) -> Result<(), CliError> {
    let baseline = Baseline::from(invocation)?;
    let path = PathBuf::from(invocation.positional("FILE")?);
    invocation.finish()?;
    let signed = SignedFile::read_or_unsigned(&path)?;
    let current = baseline.bundle().await?;
    let context = CheckContext {
        current: current.as_ref(),
        known_versions: None,
    };
    let document = BundleDocument::read(&path.display().to_string(), &signed.text);
    let findings = document.check(&context);
    if !findings.is_empty() {
        return Err(CliError::Findings(findings));
    }
    output::print(
        invocation.json,
        &check_report(&path, document.bundle(), &signed),
    );
    Ok(())
}

/// Bundle that another one is compared with.
enum Baseline {
    Nothing,
    File(PathBuf),
    Daemon(crate::client::Client),
}

impl Baseline {
    /// Parses `--against FILE` or `--daemon URL`.
    fn from(invocation: &mut Invocation) -> Result<Self, CliError> {
        if let Some(path) = invocation.path_option("--against")? {
            return Ok(Self::File(path));
        }
        let client = invocation.optional_client()?;
        Ok(client.map_or(Self::Nothing, Self::Daemon))
    }

    async fn bundle(&self) -> Result<Option<Bundle>, CliError> {
        match self {
            Self::Nothing => Ok(None),
            Self::File(path) => read_bundle(path).map(Some),
            Self::Daemon(client) => {
                let current: CurrentBundle = client.get("/v1/bundles/current").await?;
                if current.revision == 0 {
                    return Ok(None);
                }
                let document = BundleDocument::read("bundle in force", &current.text);
                document.into_bundle().map(Some).map_err(CliError::Findings)
            }
        }
    }
}

fn read_bundle(path: &Path) -> Result<Bundle, CliError> {
    let signed = SignedFile::read_or_unsigned(path)?;
    let document = BundleDocument::read(&path.display().to_string(), &signed.text);
    document.into_bundle().map_err(CliError::Findings)
}

#[derive(Serialize)]
struct Differences {
    differences: Vec<Difference>,
}

impl fmt::Display for Differences {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.differences.is_empty() {
            return writeln!(formatter, "no differences");
        }
        for difference in &self.differences {
            let old = difference.old.as_deref().unwrap_or("-");
            let new = difference.new.as_deref().unwrap_or("-");
            writeln!(formatter, "{}: {old} -> {new}", difference.path)?;
        }
        Ok(())
    }
}

/// Shows the differences between two bundles.
pub async fn diff(invocation: &mut Invocation) -> Result<(), CliError> {
    let baseline = Baseline::from(invocation)?;
    let path = PathBuf::from(invocation.positional("FILE")?);
    invocation.finish()?;
    if matches!(baseline, Baseline::Nothing) {
        return Err(CliError::Usage(
            "`--against FILE` or `--daemon URL` is missing".to_owned(),
        ));
    }
    let new = read_bundle(&path)?;
    let old = baseline.bundle().await?;
    let old =
        old.ok_or_else(|| CliError::Failed("no bundle is in force on the daemon".to_owned()))?;
    let differences = Differences {
        differences: compare(&old, &new),
    };
    output::print(invocation.json, &differences);
    Ok(())
}

/// Signs a bundle. A signature is added if it is already signed with other keys.
pub fn sign(invocation: &mut Invocation) -> Result<(), CliError> {
    let key_path = PathBuf::from(invocation.required("--key")?);
    let out = invocation.path_option("--out")?;
    let path = PathBuf::from(invocation.positional("FILE")?);
    invocation.finish()?;
    let mut signed = SignedFile::read_or_unsigned(&path)?;
    let bundle =
        parse_file(&path.display().to_string(), &signed.text).map_err(CliError::Findings)?;
    let key = files::read_key(&key_path)?;
    let signature = ladderstage::bundle::sign(&signed.text, &key);
    signed
        .signatures
        .retain(|entry| entry.key_id != signature.key_id);
    signed.signatures.push(SignatureEntry {
        key_id: signature.key_id,
        signature: hex::encode(signature.signature),
    });
    let is_signed = path
        .extension()
        .is_some_and(|extension| extension == "json");
    let default_out = if is_signed {
        path
    } else {
        path.with_extension(SIGNED_EXTENSION)
    };
    let out = out.unwrap_or(default_out);
    signed.write(&out)?;
    output::print(invocation.json, &check_report(&out, &bundle, &signed));
    Ok(())
}

/// Verifies the signatures of a bundle.
pub fn verify(invocation: &mut Invocation) -> Result<(), CliError> {
    let trusted = trusted_keys(invocation)?;
    let path = PathBuf::from(invocation.positional("FILE")?);
    invocation.finish()?;
    let signed = SignedFile::read(&path)?;
    let bundle = ladderstage::bundle::verify(&signed.to_message()?, &trusted)
        .map_err(|error| CliError::Failed(format!("{}: {error}", path.display())))?;
    output::print(invocation.json, &check_report(&path, &bundle, &signed));
    Ok(())
}

/// Returns the keys of `--trusted KEY_ID=PUBLIC_KEY` and of a daemon's settings file.
fn trusted_keys(invocation: &mut Invocation) -> Result<TrustedKeys, CliError> {
    let mut keys = BTreeMap::new();
    if let Some(path) = invocation.path_option("--settings")? {
        keys.extend(read_settings_keys(&path)?);
    }
    for pair in invocation.all("--trusted")? {
        let (key_id, key) = pair.split_once('=').ok_or_else(|| {
            CliError::Usage(format!(
                "invalid `--trusted {pair}`; expected KEY_ID=PUBLIC_KEY_IN_HEX"
            ))
        })?;
        keys.insert(key_id.to_owned(), key.to_owned());
    }
    if keys.is_empty() {
        let detail = "`--trusted KEY_ID=PUBLIC_KEY` or `--settings FILE` is missing";
        return Err(CliError::Usage(detail.to_owned()));
    }
    TrustedKeys::from_hex(&keys).map_err(|errors| {
        let errors = errors.iter().map(ToString::to_string);
        CliError::Input(errors.collect::<Vec<_>>().join("\n"))
    })
}

fn read_settings_keys(path: &Path) -> Result<BTreeMap<String, String>, CliError> {
    #[derive(serde::Deserialize)]
    struct TrustedKeysSection {
        #[serde(default)]
        trusted_keys: BTreeMap<String, String>,
    }
    let settings: TrustedKeysSection = toml::from_str(&files::read_text(path)?)
        .map_err(|error| CliError::Input(format!("{}: {error}", path.display())))?;
    Ok(settings.trusted_keys)
}
