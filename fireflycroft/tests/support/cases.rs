//! The macro that names each case of a test file.

/// One test for each case: its name, and the expression that checks it.
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
