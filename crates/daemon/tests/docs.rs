//! Checks the operator documentation against the program.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the names of all metrics in a text.
fn metrics(text: &str) -> BTreeSet<String> {
    let accepted = |c: char| c.is_ascii_lowercase() || c == '_';
    text.match_indices("boragereel_")
        .map(|(start, _)| text[start..].chars().take_while(|&c| accepted(c)).collect())
        .collect()
}

/// Guards against documented alerts on metrics that do not exist, and against undocumented metrics.
#[test]
fn documentation_lists_exactly_the_existing_metrics() {
    let pages = metrics(&read(&root().join("docs/OPERATIONS.md")));
    let mut program = metrics(&read(&root().join("crates/daemon/src/metrics.rs")));
    program.extend(metrics(&read(
        &root().join("crates/gateway/src/metrics.rs"),
    )));
    assert_eq!(pages, program);
}

/// Guards against undocumented settings keys and rule options.
#[test]
fn documentation_lists_all_settings_and_rule_options() {
    let page = read(&root().join("docs/OPERATIONS.md"));
    let daemon = read(&root().join("crates/daemon/src/settings.rs"));
    let gateway = read(&root().join("crates/gateway/src/settings.rs"));
    // In both files, the keys are defined before the error type.
    let gateway = gateway.split("/// Why settings").next().unwrap_or_default();
    let source = [gateway, &daemon].join("\n");
    let keys: Vec<&str> = source
        .lines()
        .filter_map(|line| line.trim().strip_suffix(','))
        .filter_map(|line| line.strip_prefix("pub ").unwrap_or(line).split_once(": "))
        .map(|(key, _)| key)
        .take_while(|key| *key != "path")
        .filter(|key| key.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
        .collect();
    assert!(keys.len() >= 20, "{keys:?}");
    for key in keys {
        assert!(page.contains(&format!("`{key}`")), "settings key {key}");
    }
    let rules = read(&root().join("crates/rules/src/snapshot.rs"));
    for list in rules.split("line.accept(\"").skip(1) {
        let options = list.split('"').next().unwrap_or_default();
        for option in options.split_whitespace() {
            assert!(page.contains(&format!("{option}=")), "rule option {option}");
        }
    }
}

/// Guards against links to pages and files that do not exist.
#[test]
fn documentation_links_resolve() {
    let mut pages = vec![root().join("README.md")];
    for entry in std::fs::read_dir(root().join("docs")).expect("the folder is there") {
        pages.push(entry.expect("the folder can be read").path());
    }
    for page in pages
        .iter()
        .filter(|page| page.extension().is_some_and(|end| end == "md"))
    {
        let text = read(page);
        for (start, _) in text.match_indices("](") {
            let link = text[start + 2..]
                .split([')', '#'])
                .next()
                .unwrap_or_default();
            if link.is_empty() || link.contains("://") {
                continue;
            }
            let target = page.parent().map(|folder| folder.join(link));
            assert!(
                target.is_some_and(|path| path.exists()),
                "{}: {link}",
                page.display()
            );
        }
    }
}
