//! Macro for tests that are lists of named cases.

/// Defines one test per case, from its name and the expression that checks it.
macro_rules! cases {
    ($($name:ident => $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}
