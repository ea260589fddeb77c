//! Guards against secrets that appear in a log or in the document.

use jm_config::{KEY_SECRET_BYTES, KeyHash, KeySecret};

#[test]
fn debug_output_hides_the_secret() {
    let secret = KeySecret::from_random([0xab; KEY_SECRET_BYTES]);
    assert_eq!(format!("{secret:?}"), "KeySecret(..)");
    assert_eq!(format!("{:?}", KeySecret::from_text("abcdef")), "KeySecret(..)");
}

#[test]
fn hash_is_sha256_of_the_text() {
    let hash = KeySecret::from_text("abc").hash();
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(hash.to_string(), known);
    assert_eq!(known.parse(), Ok(hash));
    assert_eq!(known.to_uppercase().parse(), Ok(hash));
}

#[test]
fn secret_contains_all_random_bytes() {
    let secret = KeySecret::from_random([0x5a; KEY_SECRET_BYTES]);
    assert_eq!(secret.expose(), format!("jmk_{}", "5a".repeat(KEY_SECRET_BYTES)));
    let mut bytes = [0; KEY_SECRET_BYTES];
    let zero = KeySecret::from_random(bytes).hash();
    bytes[KEY_SECRET_BYTES - 1] = 1;
    assert_ne!(KeySecret::from_random(bytes).hash(), zero);
}

#[test]
fn error_for_invalid_hash_omits_the_text() {
    for text in [
        "",
        "12",
        &"0".repeat(63),
        &"0".repeat(65),
        &"g".repeat(64),
        &"é".repeat(32),
    ] {
        let error = text.parse::<KeyHash>().expect_err("not a hash");
        assert!(text.is_empty() || !error.to_string().contains(text), "{error}");
    }
}
