//! The committed types are those of the schema.

#[test]
fn generated_types_are_current() {
    wiregen::check(&wiregen::workspace_root()).unwrap();
}
