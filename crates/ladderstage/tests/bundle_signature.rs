//! Verification of bundle signatures that are valid, missing, invalid or by unknown keys.

use std::collections::BTreeMap;

use ladderstage::bundle::{BundleError, BundleKey, TrustedKeys, digest, sign, verify};
use ladderstage_wire::messages::SignedBundle;
use proptest::prelude::*;

const TEXT: &str = "revision = 7\n[[pool]]\nname = \"p\"\nkind = \"application\"\nbackends = [\"b\"]\nconcurrency = 1\n";

fn key(name: &str, seed: u8) -> BundleKey {
    BundleKey::from_secret(name, &[seed; 32])
}

fn trusted(keys: &[&BundleKey]) -> TrustedKeys {
    let keys = keys
        .iter()
        .map(|key| (key.key_id().to_owned(), key.public_hex()));
    TrustedKeys::from_hex(&keys.collect()).unwrap()
}

fn signed(text: &str, keys: &[&BundleKey]) -> SignedBundle {
    SignedBundle {
        text: text.as_bytes().to_vec(),
        signatures: keys.iter().map(|key| sign(text, key)).collect(),
        proposal_id: "p-1".to_owned(),
    }
}

#[test]
fn bundle_signed_with_old_and_new_key_verifies_with_either() {
    let (old, new) = (key("2026-a", 1), key("2026-b", 2));
    let both = signed(TEXT, &[&old, &new]);
    for trusted_keys in [trusted(&[&old]), trusted(&[&new]), trusted(&[&old, &new])] {
        assert_eq!(
            verify(&both, &trusted_keys).map(|bundle| bundle.revision),
            Ok(7)
        );
    }
}

#[test]
fn untrusted_missing_and_invalid_signatures_are_rejected() {
    let (ours, other) = (key("ours", 1), key("other", 2));
    let trusted_keys = trusted(&[&ours]);
    let unknown = verify(&signed(TEXT, &[&other]), &trusted_keys);
    assert_eq!(
        unknown,
        Err(BundleError::NotTrusted {
            key_ids: vec!["other".to_owned()]
        })
    );
    let missing = verify(&signed(TEXT, &[]), &trusted_keys);
    assert_eq!(missing, Err(BundleError::NotTrusted { key_ids: vec![] }));

    let bad = Err(BundleError::BadSignature {
        key_id: "ours".to_owned(),
    });
    let impostor = key("ours", 3);
    assert_eq!(verify(&signed(TEXT, &[&impostor]), &trusted_keys), bad);
    let mut changed = signed(TEXT, &[&ours]);
    changed.text[11] = b'8';
    assert_eq!(verify(&changed, &trusted_keys), bad);
    let mut short = signed(TEXT, &[&ours]);
    short.signatures[0].signature.pop();
    assert_eq!(verify(&short, &trusted_keys), bad);
}

#[test]
fn signed_bundle_with_invalid_text_is_rejected_with_findings() {
    let ours = key("ours", 1);
    let outcome = verify(
        &signed("revision = 'x'\ncolour = 1\n", &[&ours]),
        &trusted(&[&ours]),
    );
    let Err(BundleError::Findings(findings)) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(findings.len(), 2);
}

#[test]
fn all_unusable_public_keys_are_reported() {
    let keys: BTreeMap<String, String> = [
        ("short".to_owned(), "00ff".to_owned()),
        // A public key of small order would accept forged signatures.
        ("weak".to_owned(), format!("01{}", "0".repeat(62))),
    ]
    .into();
    assert_eq!(TrustedKeys::from_hex(&keys).unwrap_err().len(), 2);
}

#[test]
fn debug_output_omits_the_secret_key() {
    let key = key("ours", 1);
    assert!(!format!("{key:?}").contains(&key.secret_hex()));
    assert_eq!(digest(b"").to_string()[..8], *"e3b0c442");
}

proptest! {
    #[test]
    fn random_messages_never_verify(text in proptest::collection::vec(any::<u8>(), 0..200),
            signature in proptest::collection::vec(any::<u8>(), 0..80)) {
        let ours = key("ours", 1);
        let mut message = signed(TEXT, &[&ours]);
        message.text = text;
        message.signatures[0].signature = signature;
        prop_assert!(verify(&message, &trusted(&[&ours])).is_err());
    }
}
