//! Cutting documents into parts, assembling them and transferring them.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    ConfigBundle, ConfigTransfer, ConfigVersion, Digest, Document, Head, Inventory, MAX_PART,
    Message, Name, Part, Priority, PriorityRule, Progress, Quota, ReceivedPart, Rules, Snapshot,
    SnapshotError, Workspace, WriteOutcome, assemble, split,
};
use std::collections::HashSet;

/// Workspaces of the largest fleet that is required.
const LARGE: usize = 38_000;
/// Most parts that a change of one item may rewrite: the one around it and, if a cut
/// moves, the next.
const REWRITTEN: usize = 2;

fn workspace(i: usize) -> Workspace {
    Workspace {
        name: format!("workspace-{i:05}").into(),
        brand: format!("brand-{}", i % 12).into(),
        key_digests: vec![blake3::hash(&i.to_le_bytes()).to_hex().as_str().into()],
    }
}

fn document(workspaces: usize) -> Document {
    let name = |i: usize| Name::from(format!("workspace-{i:05}"));
    let priority = |i| PriorityRule {
        workspace: name(i),
        default: Priority::Batch,
        highest: Priority::Interactive,
    };
    let quota = |i| Quota {
        workspace: name(i),
        tokens_per_minute: 60_000,
    };
    Document {
        inventory: Inventory {
            workspaces: (0..workspaces).map(workspace).collect(),
            ..Inventory::default()
        },
        rules: Rules {
            priorities: (0..workspaces).step_by(4).map(priority).collect(),
            quotas: (0..workspaces).step_by(2).map(quota).collect(),
            ..Rules::default()
        },
    }
}

fn head_of(snapshot: &Snapshot, version: u64) -> Head {
    snapshot.head(ConfigVersion(version), 0, "test".into(), "token".into())
}

/// Counts the parts of `to` that `from` lacks.
fn rewritten(from: &Snapshot, to: &Snapshot) -> usize {
    let known: HashSet<_> = from.parts.iter().map(|p| p.name).collect();
    to.parts.iter().filter(|p| !known.contains(&p.name)).count()
}

fn assert_few_rewritten(change: impl Fn(&mut Document)) {
    let mut doc = document(LARGE);
    let before = split(&doc).unwrap();
    change(&mut doc);
    let after = split(&doc).unwrap();
    let count = rewritten(&before, &after);
    assert!((1..=REWRITTEN).contains(&count), "{count} parts rewritten");
    assert_eq!(assemble(&head_of(&after, 2), &after.parts).unwrap(), doc);
}

cases! {
    empty_document_round_trips => round_trips(&Document::default());
    small_document_is_one_part => {
        let snapshot = split(&document(10)).unwrap();
        assert_eq!(snapshot.parts.len(), 1);
        round_trips(&document(10));
    };
    large_document_round_trips => round_trips(&document(LARGE));
    large_document_is_over_a_megabyte_in_bounded_parts => {
        let snapshot = split(&document(LARGE)).unwrap();
        println!("{} bytes in {} parts", snapshot.bytes(), snapshot.parts.len());
        assert!(snapshot.bytes() > 1024 * 1024);
        assert!(snapshot.parts.iter().all(|p| p.data.len() <= MAX_PART));
    };
    same_document_gives_same_parts => {
        assert_eq!(split(&document(500)).unwrap(), split(&document(500)).unwrap());
    };
    changed_workspace_rewrites_few_parts => assert_few_rewritten(|doc| {
        doc.inventory.workspaces[20_000].brand = "brand-other".into();
    });
    added_key_rewrites_few_parts => assert_few_rewritten(|doc| {
        doc.inventory.workspaces[9].key_digests.push("ab".repeat(32).into());
    });
    inserted_workspace_rewrites_few_parts => assert_few_rewritten(|doc| {
        doc.inventory.workspaces.insert(11_111, workspace(99_999));
    });
    removed_workspace_rewrites_few_parts => assert_few_rewritten(|doc| {
        doc.inventory.workspaces.remove(30_000);
    });
    changed_quota_rewrites_few_parts => assert_few_rewritten(|doc| {
        doc.rules.quotas[7_000].tokens_per_minute = 1;
    });
    changed_setting_rewrites_few_parts => assert_few_rewritten(|doc| {
        doc.rules.batch_wait_ms = 1;
    });
    every_single_change_rewrites_few_parts => {
        let mut doc = document(LARGE);
        let before = split(&doc).unwrap();
        for i in (0..LARGE).step_by(4_999) {
            let old = doc.inventory.workspaces[i].clone();
            doc.inventory.workspaces[i].brand = "brand-other".into();
            let count = rewritten(&before, &split(&doc).unwrap());
            assert!((1..=REWRITTEN).contains(&count), "workspace {i}: {count} parts");
            doc.inventory.workspaces[i] = old;
        }
    };
    item_over_a_part_is_refused => {
        let mut doc = document(1);
        doc.inventory.workspaces[0].key_digests = vec!["ab".repeat(32).into(); 8_000];
        let e = split(&doc).unwrap_err();
        assert!(matches!(e, SnapshotError::ItemTooLarge { .. }), "{e}");
    };
    largest_part_fits_the_platform_as_a_string => {
        let part = Part::new(vec![b'"'; MAX_PART]);
        let value = serde_json::to_vec(&part.to_value().unwrap()).unwrap();
        assert!(value.len() <= 1024 * 1024);
    };
    part_round_trips_through_the_platform => {
        for part in split(&document(2_000)).unwrap().parts {
            let text = serde_json::to_string(&part.to_value().unwrap()).unwrap();
            let value = serde_json::from_str(&text).unwrap();
            assert_eq!(Part::from_value(part.name, &value).unwrap(), part);
        }
    };
    other_content_under_a_name_is_refused => {
        let part = Part::new(b"[]".as_slice());
        let value = serde_json::Value::String("[ ]".into());
        assert!(Part::from_value(part.name, &value).is_err());
        assert!(Part::from_value(part.name, &serde_json::json!([])).is_err());
    };
    missing_part_is_refused => {
        let snapshot = split(&document(2_000)).unwrap();
        let e = assemble(&head_of(&snapshot, 1), &snapshot.parts[1..]).unwrap_err();
        assert!(matches!(e, SnapshotError::PartCount { .. }), "{e}");
    };
    swapped_parts_are_refused => {
        let mut snapshot = split(&document(2_000)).unwrap();
        let head = head_of(&snapshot, 1);
        snapshot.parts.swap(0, 1);
        assert_eq!(assemble(&head, &snapshot.parts), Err(SnapshotError::WrongPart(0)));
    };
    part_under_a_false_name_is_refused => {
        let mut snapshot = split(&document(2_000)).unwrap();
        let head = head_of(&snapshot, 1);
        snapshot.parts[1].data = b"[]".as_slice().into();
        assert_eq!(assemble(&head, &snapshot.parts), Err(SnapshotError::WrongPart(1)));
    };
    head_with_a_false_digest_is_refused => {
        let snapshot = split(&document(10)).unwrap();
        let mut head = head_of(&snapshot, 1);
        head.digest = Digest(1);
        assert_eq!(assemble(&head, &snapshot.parts), Err(SnapshotError::HeadDigest));
    };
    part_of_other_items_is_refused => {
        let part = Part::new(br#"[{"stranger":1}]"#.as_slice());
        let snapshot = Snapshot { digest: Digest::of(&[]), parts: vec![part] };
        let mut head = head_of(&snapshot, 1);
        head.digest = Digest::of(&[blake3::hash(&snapshot.parts[0].data).as_bytes()]);
        let e = assemble(&head, &snapshot.parts).unwrap_err();
        assert!(matches!(e, SnapshotError::Malformed(_)), "{e}");
    };
    writes_name_the_writes_before_them => {
        let snapshot = split(&document(10)).unwrap();
        let mut head: Option<Head> = None;
        for version in 1..40 {
            let token = Name::from(version.to_string());
            let next = snapshot.head(ConfigVersion(version), 0, "test".into(), token);
            head = Some(next.after(head.as_ref()));
        }
        let past: Vec<u64> = head.unwrap().past.iter().map(|w| w.version).collect();
        assert_eq!(past, (23..39).rev().collect::<Vec<_>>());
    };
    own_write_is_active => assert_eq!(outcome_after(&["a"], "b", &["b"]), WriteOutcome::Active);
    unchanged_head_leaves_a_write_pending => {
        assert_eq!(outcome_after(&["a"], "b", &[]), WriteOutcome::Pending);
        assert_eq!(outcome_after(&[], "b", &[]), WriteOutcome::Pending);
    };
    write_before_another_was_replaced => {
        assert_eq!(outcome_after(&["a"], "b", &["b", "c", "d"]), WriteOutcome::Replaced);
    };
    write_that_no_head_names_was_lost => {
        assert_eq!(outcome_after(&["a"], "b", &["c"]), WriteOutcome::Lost);
        assert_eq!(outcome_after(&[], "b", &["c", "d"]), WriteOutcome::Lost);
    };
    head_of_another_history_leaves_a_write_unknown => {
        assert_eq!(outcome_read(&["a", "b"], "c", &["a"]), WriteOutcome::Unknown);
        assert_eq!(outcome_read(&["a", "b"], "c", &["a", "x"]), WriteOutcome::Unknown);
        assert_eq!(outcome_read(&["a"], "c", &[]), WriteOutcome::Unknown);
    };
    write_before_many_others_is_unknown => {
        let later: Vec<String> = (0..40).map(|i| format!("later-{i}")).collect();
        let later: Vec<&str> = later.iter().map(String::as_str).collect();
        assert_eq!(outcome_after(&["a"], "b", &later), WriteOutcome::Unknown);
    };
    head_round_trips_through_json => {
        let head = head_of(&split(&document(2_000)).unwrap(), 7);
        let text = serde_json::to_string(&head).unwrap();
        assert_eq!(serde_json::from_str::<Head>(&text).unwrap(), head);
    };
}

/// Returns the outcome of the write `own` after `before`, if `after` follow.
fn outcome_after(before: &[&str], own: &str, after: &[&str]) -> WriteOutcome {
    outcome_read(before, own, &[before, after].concat())
}

/// Returns the outcome of the write `own` after `before`, if the head read afterwards
/// results from `writes`.
fn outcome_read(before: &[&str], own: &str, writes: &[&str]) -> WriteOutcome {
    let snapshot = split(&document(10)).unwrap();
    let write = |base: Option<Head>, token: &str| {
        let version = base.as_ref().map_or(0, |h| h.version) + 1;
        let head = snapshot.head(ConfigVersion(version), 0, "test".into(), token.into());
        Some(head.after(base.as_ref()))
    };
    let base = before.iter().copied().fold(None, write);
    let now = writes.iter().copied().fold(None, write);
    let head = write(base.clone(), own).unwrap();
    head.write_outcome(base.as_ref(), now.as_ref())
}

fn round_trips(doc: &Document) {
    let snapshot = split(doc).unwrap();
    assert_eq!(
        assemble(&head_of(&snapshot, 1), &snapshot.parts).unwrap(),
        *doc
    );
}

/// Returns a transfer that holds `doc` as `version`.
fn transfer_with(doc: &Document, version: u64) -> ConfigTransfer {
    let snapshot = split(doc).unwrap();
    let mut transfer = ConfigTransfer::default();
    let head = head_of(&snapshot, version);
    assert!(transfer.install(head, snapshot.parts).unwrap().is_some());
    transfer
}

fn pull(from: &ConfigTransfer, have: ConfigVersion, part: u32) -> Option<ReceivedPart> {
    match from.serve(have, part)? {
        Message::ConfigPart {
            version,
            part,
            parts,
            digest,
            data,
        } => Some(ReceivedPart {
            version,
            part,
            parts,
            digest,
            data,
        }),
        _ => None,
    }
}

/// Pulls until the version is complete; returns the document and the number of pulls.
fn pull_all(from: &ConfigTransfer, to: &mut ConfigTransfer) -> (Document, usize) {
    let have = to.version();
    let mut pulls = 0;
    let mut want = to.next_part();
    loop {
        pulls += 1;
        let part = pull(from, have, want).unwrap();
        assert!(part.data.len() <= MAX_PART);
        match to.on_part(&part) {
            Progress::Next(next) => want = next,
            Progress::Complete(complete) => return (complete.document().unwrap(), pulls),
            other => panic!("{other:?}"),
        }
    }
}

cases! {
    peer_transfers_a_large_document => {
        let doc = document(LARGE);
        let from = transfer_with(&doc, 3);
        let mut to = ConfigTransfer::default();
        let (got, pulls) = pull_all(&from, &mut to);
        assert_eq!(got, doc);
        assert_eq!(to.version(), ConfigVersion(3));
        assert_eq!(pulls, from.head().unwrap().parts.len() + 1);
        assert_eq!(to.bytes(), from.bytes());
    };
    small_change_transfers_few_parts => {
        let mut doc = document(LARGE);
        let mut to = transfer_with(&doc, 3);
        doc.inventory.workspaces[5].brand = "brand-other".into();
        let (got, pulls) = pull_all(&transfer_with(&doc, 4), &mut to);
        assert_eq!(got, doc);
        assert!(pulls <= 1 + REWRITTEN, "{pulls} pulls");
    };
    reverted_content_transfers_the_head_alone => {
        let doc = document(2_000);
        let mut to = transfer_with(&doc, 3);
        let (got, pulls) = pull_all(&transfer_with(&doc, 4), &mut to);
        assert_eq!((got, pulls), (doc, 1));
        assert_eq!(to.version(), ConfigVersion(4));
    };
    nothing_is_served_to_a_peer_as_new => {
        let from = transfer_with(&document(10), 3);
        assert!(from.serve(ConfigVersion(3), 0).is_none());
        assert!(from.serve(ConfigVersion(4), 0).is_none());
        assert!(from.serve(ConfigVersion(2), 0).is_some());
        assert!(from.serve(ConfigVersion(2), 9).is_none());
        assert!(ConfigTransfer::default().serve(ConfigVersion(0), 0).is_none());
    };
    part_of_a_lower_version_is_ignored => {
        let mut to = transfer_with(&document(10), 5);
        let old = pull(&transfer_with(&document(20), 4), ConfigVersion(0), 0).unwrap();
        assert_eq!(to.on_part(&old), Progress::Ignored);
        assert_eq!(to.version(), ConfigVersion(5));
    };
    lower_version_read_from_the_platform_is_not_held => {
        let mut to = transfer_with(&document(10), 5);
        let snapshot = split(&document(20)).unwrap();
        assert_eq!(to.install(head_of(&snapshot, 4), snapshot.parts), Ok(None));
        assert_eq!(to.version(), ConfigVersion(5));
    };
    higher_version_supersedes_a_collection => {
        let (three, four) = (transfer_with(&document(2_000), 3), transfer_with(&document(3_000), 4));
        let mut to = ConfigTransfer::default();
        let none = ConfigVersion(0);
        assert_eq!(to.on_part(&pull(&three, none, 0).unwrap()), Progress::Next(1));
        assert_eq!(to.on_part(&pull(&four, none, 1).unwrap()), Progress::Next(0));
        assert_eq!(pull_all(&four, &mut to).0, document(3_000));
        assert_eq!(to.on_part(&pull(&three, none, 1).unwrap()), Progress::Ignored);
    };
    version_that_nobody_has_any_more_is_given_up => {
        let (three, four) = (transfer_with(&document(3_000), 3), transfer_with(&document(2_000), 4));
        let mut to = ConfigTransfer::default();
        let none = ConfigVersion(0);
        to.on_part(&pull(&four, none, 0).unwrap());
        let lower = pull(&three, none, 1).unwrap();
        assert_eq!(to.on_part(&lower), Progress::Ignored);
        assert_eq!(to.on_part(&lower), Progress::Ignored);
        assert_eq!(to.on_part(&lower), Progress::Next(0));
        assert_eq!(pull_all(&three, &mut to).0, document(3_000));
    };
    bundle_shows_what_is_held => {
        let transfer = transfer_with(&document(2_000), 3);
        let text = serde_json::to_string(&transfer.bundle().unwrap()).unwrap();
        let bundle: ConfigBundle = serde_json::from_str(&text).unwrap();
        assert_eq!(bundle.head.version, 3);
        assert_eq!(bundle.document().unwrap(), document(2_000));
        assert!(ConfigTransfer::default().bundle().is_none());
    };
    repeated_part_is_ignored => {
        let from = transfer_with(&document(2_000), 3);
        let mut to = ConfigTransfer::default();
        let none = ConfigVersion(0);
        to.on_part(&pull(&from, none, 0).unwrap());
        to.on_part(&pull(&from, none, 1).unwrap());
        assert_eq!(to.on_part(&pull(&from, none, 1).unwrap()), Progress::Ignored);
        assert_eq!(to.next_part(), 2);
    };
    abandoned_collection_begins_at_the_head => {
        let from = transfer_with(&document(2_000), 3);
        let mut to = ConfigTransfer::default();
        to.on_part(&pull(&from, ConfigVersion(0), 0).unwrap());
        assert_eq!(to.next_part(), 1);
        to.abandon();
        assert_eq!(to.next_part(), 0);
        assert_eq!(to.bytes(), 0);
    };
    forged_part_is_invalid_and_rejected => {
        let from = transfer_with(&document(2_000), 3);
        let mut to = ConfigTransfer::default();
        to.on_part(&pull(&from, ConfigVersion(0), 0).unwrap());
        let mut forged = pull(&from, ConfigVersion(0), 1).unwrap();
        forged.data = b"[]".as_slice().into();
        assert_eq!(to.on_part(&forged), Progress::Invalid(SnapshotError::WrongPart(0)));
        assert_eq!(pull_all(&from, &mut to).0, document(2_000));
    };
    head_that_contradicts_its_message_is_invalid => {
        let mut part = pull(&transfer_with(&document(10), 3), ConfigVersion(0), 0).unwrap();
        part.version = ConfigVersion(9);
        let mut to = ConfigTransfer::default();
        assert_eq!(to.on_part(&part), Progress::Invalid(SnapshotError::HeadDigest));
        assert_eq!(to.next_part(), 0);
    };
    oversized_part_is_invalid => {
        let mut part = pull(&transfer_with(&document(10), 3), ConfigVersion(0), 0).unwrap();
        part.data = vec![b' '; MAX_PART + 1].into();
        let got = ConfigTransfer::default().on_part(&part);
        assert_eq!(got, Progress::Invalid(SnapshotError::TooLarge));
    };
    part_beyond_the_list_is_invalid => {
        let from = transfer_with(&document(10), 3);
        let mut to = ConfigTransfer::default();
        let snapshot = split(&document(2_000)).unwrap();
        let two_parts = transfer_with(&document(2_000), 3);
        to.on_part(&pull(&two_parts, ConfigVersion(0), 0).unwrap());
        let mut part = pull(&from, ConfigVersion(0), 1).unwrap();
        part.part = 999;
        assert_eq!(to.on_part(&part), Progress::Invalid(SnapshotError::WrongPart(998)));
        assert!(snapshot.parts.len() > 1);
    };
}
