//! Checks that the committed types match the schema.

#[test]
fn generated_types_are_current() {
    wiregen::check(&wiregen::workspace_root()).unwrap();
}
