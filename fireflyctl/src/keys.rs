//! `key digest` and `fleet-key new`, and tokens that identify writes.

use crate::console::Console;
use crate::failure::Result;
use anyhow::Context;
use fireflycroft::{Name, digest_key};
use std::fs::File;
use std::io::Read;

/// Source of random bytes.
const RANDOM_SOURCE: &str = "/dev/urandom";
/// Length of a write token, in bytes.
const TOKEN_LEN: usize = 16;
/// Length of a fleet key, in bytes.
const FLEET_KEY_LEN: usize = 32;

/// Prints the digest of a key, as the inventory holds it; `-` reads the key
/// from standard input, which keeps it out of process lists.
pub(crate) fn print_digest(key: &str, console: &mut Console<'_>) -> Result<()> {
    if key != "-" {
        return console.print(hex(&digest_key(key)));
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .context("standard input")?;
    console.print(hex(&digest_key(text.trim_end_matches(['\r', '\n']))))
}

/// Prints a new line for a file of fleet keys.
pub(crate) fn print_new_fleet_key(id: u8, console: &mut Console<'_>) -> Result<()> {
    let key: [u8; FLEET_KEY_LEN] = random()?;
    console.print(format!("{id}:{}", hex(&key)))
}

/// Generates a unique token for a write.
pub(crate) fn new_write_token() -> Result<Name> {
    let bytes: [u8; TOKEN_LEN] = random()?;
    Ok(hex(&bytes).into())
}

fn random<const N: usize>() -> Result<[u8; N]> {
    let mut bytes = [0; N];
    File::open(RANDOM_SOURCE)
        .and_then(|mut f| f.read_exact(&mut bytes))
        .context(RANDOM_SOURCE)?;
    Ok(bytes)
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
