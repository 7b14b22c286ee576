//! Measures the cost of a configuration: bytes, parts, memory and time.
//!
//! `config_cost make 38000 FILE` cuts a document of that many workspaces, prints its
//! sizes and writes its head and parts, one per line. `config_cost take FILE` installs
//! and compiles them as a node does and prints the resident set, in a separate process
//! so that nothing else is counted.

use fireflycroft::{
    Brand, ConfigTransfer, ConfigVersion, Document, Head, Inventory, Name, Part, Priority,
    PriorityRule, Quota, Rules, Snapshot, Workspace, split,
};
use std::collections::HashSet;
use std::error::Error;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::time::Instant;

/// Workspaces per brand.
const WORKSPACES_PER_BRAND: usize = 3_200;
/// Number of single-workspace changes that are measured.
const SAMPLED_CHANGES: usize = 50;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["make", workspaces, path] => make_snapshot(workspaces.parse()?, path),
        ["take", path] => load_snapshot(path),
        _ => Err("config_cost make WORKSPACES FILE | take FILE".into()),
    }
}

fn make_snapshot(workspaces: usize, path: &str) -> Result<(), Box<dyn Error>> {
    let mut doc = document(workspaces);
    let started = Instant::now();
    let snapshot = split(&doc)?;
    let split_ms = started.elapsed().as_secs_f64() * 1e3;
    let largest = snapshot.parts.iter().map(|p| p.data.len()).max();
    let head = snapshot.head(ConfigVersion(1), 0, "cost".into(), "cost".into());
    let head = serde_json::to_string(&head)?;
    println!(
        "workspaces={workspaces} bytes={} parts={} largest={} head={} change_bytes={} split_ms={split_ms:.1}",
        snapshot.bytes(),
        snapshot.parts.len(),
        largest.unwrap_or(0),
        head.len(),
        changed_bytes(&mut doc, &snapshot)?,
    );
    let mut f = BufWriter::new(File::create(path)?);
    writeln!(f, "{head}")?;
    for part in &snapshot.parts {
        f.write_all(&part.data)?;
        writeln!(f)?;
    }
    Ok(f.flush()?)
}

fn load_snapshot(path: &str) -> Result<(), Box<dyn Error>> {
    let before = status_bytes("VmRSS:");
    let mut lines = BufReader::new(File::open(path)?).lines();
    let head: Head = serde_json::from_str(&lines.next().ok_or("empty file")??)?;
    let mut parts = Vec::new();
    for line in lines {
        parts.push(Part::new(line?.into_bytes()));
    }
    let mut transfer = ConfigTransfer::default();
    let started = Instant::now();
    let whole = transfer.install(head, parts)?.ok_or("not held")?;
    let held_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let config = whole
        .compile()
        .map_err(|faults| format!("{} faults", faults.len()))?;
    let compile_ms = started.elapsed().as_secs_f64() * 1e3;
    let after = status_bytes("VmRSS:");
    println!(
        "workspaces={} held_bytes={} hold_ms={held_ms:.1} compile_ms={compile_ms:.1} \
         resident_before={before} resident_after={after} peak={}",
        config.workspaces(),
        transfer.bytes(),
        status_bytes("VmHWM:"),
    );
    Ok(())
}

/// Returns the mean bytes of parts that a change of one workspace rewrites.
fn changed_bytes(doc: &mut Document, before: &Snapshot) -> Result<usize, Box<dyn Error>> {
    let known: HashSet<_> = before.parts.iter().map(|p| p.name).collect();
    let count = doc.inventory.workspaces.len();
    let mut sum = 0;
    for i in (0..count).step_by((count / SAMPLED_CHANGES).max(1)) {
        let old = std::mem::replace(
            &mut doc.inventory.workspaces[i].brand,
            brand(i + WORKSPACES_PER_BRAND),
        );
        let after = split(doc)?;
        let new = after.parts.iter().filter(|p| !known.contains(&p.name));
        sum += new.map(|p| p.data.len()).sum::<usize>();
        doc.inventory.workspaces[i].brand = old;
    }
    Ok(sum / count.div_ceil((count / SAMPLED_CHANGES).max(1)).max(1))
}

fn document(workspaces: usize) -> Document {
    let name = |i: usize| Name::from(format!("workspace-{i:05}"));
    let workspace = |i: usize| Workspace {
        name: name(i),
        brand: brand(i),
        key_digests: vec![blake3::hash(&i.to_le_bytes()).to_hex().as_str().into()],
    };
    let priority = |i| PriorityRule {
        workspace: name(i),
        default: Priority::Batch,
        highest: Priority::Interactive,
    };
    let quota = |i| Quota {
        workspace: name(i),
        tokens_per_minute: 60_000,
    };
    let brands = (0..=workspaces.div_ceil(WORKSPACES_PER_BRAND)).map(|i| Brand {
        name: format!("brand-{i}").into(),
        models: Vec::new(),
        services: Vec::new(),
    });
    Document {
        inventory: Inventory {
            brands: brands.collect(),
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

fn brand(workspace: usize) -> Name {
    format!("brand-{}", workspace / WORKSPACES_PER_BRAND).into()
}

/// Returns a size from the process status in bytes; 0 if it is not available.
fn status_bytes(field: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix(field));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<usize>().ok());
    kib.unwrap_or(0) * 1024
}
