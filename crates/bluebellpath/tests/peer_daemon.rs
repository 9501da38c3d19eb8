//! Settings of the way to other instances.

use bluebellpath::settings::Settings;

const TEXT: &str = r#"{
  "name": "entry-1",
  "domains": ["lahore"],
  "domain": "lahore",
  "listen": "127.0.0.1:7000",
  "platform": "127.0.0.1:7100",
  // Same key everywhere.
  "peers": { "listen": "127.0.0.1:7001", "key": "a shared secret" }
}"#;

#[test]
fn the_key_is_read_and_never_shown() {
    let settings = Settings::parse(TEXT).expect("valid");
    let peers = settings.peers.as_ref().expect("given");
    assert_eq!(peers.key.read().expect("inline"), "a shared secret");
    assert_eq!(peers.listen.port(), 7001);
    assert!(!format!("{settings:?}").contains("secret"));
}
