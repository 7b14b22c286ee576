//! Tokens that an agent keeps, and what they cost.

use fireflycroft::TokenLog;

/// Returns the tokens of a long answer.
fn log(tokens: usize, token: &[u8]) -> TokenLog {
    let mut log = TokenLog::default();
    for _ in 0..tokens {
        log.push(token);
    }
    log
}

macro_rules! cases {
    ($($name:ident => $check:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $check
            }
        )+
    };
}

cases! {
    short_tokens_count_for_more_than_their_own_bytes => {
        let kept = log(1_000, b"t").bytes();
        assert!(kept >= 1_000 * (1 + size_of::<u32>() + size_of::<usize>()), "{kept}");
    };
    release_frees_what_is_asked_and_at_most_one_token_more => for bytes in [0, 1, 13, 14, 500, 12_999, 13_000] {
        let mut log = log(1_000, b"t");
        let before = log.bytes();
        log.release_bytes(bytes);
        let freed = before - log.bytes();
        assert!((bytes..bytes + 13).contains(&freed), "{freed} of {bytes}");
    };
    release_of_more_than_is_held_frees_all => {
        let mut log = log(10, b"token");
        log.release_bytes(1_000);
        assert_eq!((log.bytes(), log.first()), (0, 10));
    };
}
