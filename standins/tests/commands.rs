//! Command lines of the test doubles. As an integration test of this package, it also makes
//! `cargo test --workspace` build both binaries, which the process tests start.

use std::process::Command;

macro_rules! commands {
    ($($name:ident: $binary:literal;)*) => {
        $(
            /// Guards against a command that starts without its addresses or prints no usage.
            #[test]
            fn $name() {
                let help = Command::new(env!(concat!("CARGO_BIN_EXE_", $binary)))
                    .arg("--help")
                    .output()
                    .unwrap();
                assert!(help.status.success());
                let text = [help.stdout, help.stderr].concat();
                assert!(String::from_utf8_lossy(&text).contains("--listen"));
                let without_args = Command::new(env!(concat!("CARGO_BIN_EXE_", $binary)))
                    .output()
                    .unwrap();
                assert!(!without_args.status.success());
            }
        )*
    };
}

commands! {
    key_value_service: "standin-kv";
    backend_server: "standin-backend";
}
