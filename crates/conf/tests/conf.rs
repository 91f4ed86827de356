//! Reads valid and invalid configuration files and checks the resulting settings and error messages.

use std::fs;
use std::path::{Path, PathBuf};

use rookspoke_conf::{compile, schema, Input, Origin, Override, Resolved, MAX_FILE_BYTES};
use serde_json::json;
use tempfile::TempDir;

const SMALL: &str = "\
listen 127.0.0.1:3000
class look-up {
    effect safe
    aim 500ms      # and some more
    deadline 10s
}
worker w-1 { \n address 127.0.0.1:4001
}
";

/// Configuration files in a temporary directory; `main.conf` is the one that is read.
struct Files(TempDir);

impl Files {
    fn new(files: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().expect("a directory");
        for (name, text) in files {
            let path = folder.path().join(name);
            fs::create_dir_all(path.parent().expect("a directory")).expect("a directory");
            fs::write(path, text).expect("a file");
        }
        Files(folder)
    }

    fn path(&self) -> PathBuf {
        self.0.path().join("main.conf")
    }

    fn read(&self, overrides: Vec<Override>) -> Result<Resolved, String> {
        let path = self.path();
        let result = compile(Input { file: Some(&path), platform: None, overrides });
        // Snapshots must not depend on the name of the temporary directory.
        let folder = format!("{}/", self.0.path().display());
        result.map_err(|problems| problems.render().replace(&folder, ""))
    }
}

fn read(text: &str) -> Result<Resolved, String> {
    Files::new(&[("main.conf", text)]).read(Vec::new())
}

fn errors(text: &str) -> String {
    // The message of each error, without the source excerpt that `miette` renders below it.
    let rendered = read(text).expect_err("an error");
    let firsts =
        rendered.lines().filter(|line| line.starts_with("main.conf:") || line.starts_with("configuration:"));
    firsts.map(|line| format!("{line}\n")).collect()
}

#[test]
fn a_small_file_yields_the_complete_settings_tree() {
    let resolved = read(SMALL).expect("a configuration");
    insta::assert_snapshot!(serde_json::to_string_pretty(&resolved.tree).expect("JSON"));
}

#[test]
fn each_value_has_its_origin() {
    let files = Files::new(&[("main.conf", SMALL)]);
    let over = |key: &str, text: &str, origin| Override { key: key.into(), value: text.into(), origin };
    let overrides = vec![
        over("log.level", "debug", Origin::Environment("ROOKSPOKE_LOG".into())),
        over("limits.attempts", "3", Origin::Flag),
    ];
    let resolved = files.read(overrides).expect("a configuration");
    let row = |key: &str| {
        let row = resolved.rows().into_iter().find(|row| row.key == key).expect("a row");
        let origin = row.origin.to_string();
        format!("{} {}", row.value, origin.rsplit('/').next().expect("a part"))
    };
    assert_eq!(row("class look-up aim"), "500ms main.conf:4");
    assert_eq!(row("limits attempts"), "3 command line");
    assert_eq!(row("log level"), "debug environment ROOKSPOKE_LOG");
    assert_eq!(row("rules drain-grace"), "500ms default");
}

#[test]
fn errors_say_where_what_was_found_and_what_was_expected() {
    insta::assert_snapshot!(errors(
        "lisen 127.0.0.1:3000\nlisten 3000\nsockets 7\nzone a b\nname\nname \"x\ny\\\nclass a {\n effect twice\n aim 500\n \
         deadline 10s extra\n drain-grace 1s\n}\nrules { cold-from 1\n}\nworkr x {\n}\n}\nfaktory\n"
    ));
}

#[test]
fn values_that_depend_on_each_other_are_checked() {
    insta::assert_snapshot!(errors("listen 127.0.0.1:1\n"));
    let more = format!("{SMALL}zones a b\nnumber 3\nvrrp {{\n listen 127.0.0.1:1\n peers 127.0.0.2:1\n router 1\n addresses 192.0.2.1\n}}\nfaktory {{\n listen 127.0.0.1:0\n}}\n");
    insta::assert_snapshot!(errors(&more));
}

#[test]
fn a_repeated_section_or_keyword_is_reported_with_the_first() {
    insta::assert_snapshot!(errors(&format!("{SMALL}name a\nname b\nclass look-up {{\n}}\n")));
}

#[test]
fn an_unclosed_section_is_reported_at_its_first_line() {
    insta::assert_snapshot!(errors("name a\nclass x {\n aim 1s\n"));
}

/// The error is reported at the line of the included file, not at the line of the include.
#[test]
fn an_error_in_an_included_file_names_that_file() {
    let main = format!("{SMALL}include conf.d/*.conf\n");
    let files = [
        ("main.conf", main.as_str()),
        ("conf.d/10-good.conf", "name included\n"),
        ("conf.d/20-bad.conf", "# a comment\n\nlimits {\n  atempts 3\n}\n"),
        ("conf.d/notes.txt", "not read"),
    ];
    insta::assert_snapshot!(Files::new(&files).read(Vec::new()).expect_err("an error"));
    let good = &files[..2];
    let resolved = Files::new(good).read(Vec::new()).expect("a configuration");
    assert_eq!(resolved.tree["name"], json!("included"));
}

#[test]
fn include_cycles_missing_files_and_deep_nesting_are_rejected() {
    let text = format!("{SMALL}include main.conf\n");
    assert!(read(&text).expect_err("an error").contains("includes itself"));
    let text = format!("{SMALL}include nowhere.conf\n");
    assert!(read(&text).expect_err("an error").contains("No such file"));
    let chain: Vec<(String, String)> =
        (0..20).map(|n| (format!("{n}.conf"), format!("include {}.conf\n", n + 1))).collect();
    let mut files = vec![("main.conf", "include 0.conf\n")];
    files.extend(chain.iter().map(|(name, text)| (name.as_str(), text.as_str())));
    assert!(Files::new(&files)
        .read(Vec::new())
        .expect_err("an error")
        .contains("nested more than 8 deep, expected at most 8"));
}

#[test]
fn unsuitable_files_are_rejected_without_blocking() {
    let fails = |path: &Path| {
        compile(Input { file: Some(path), ..Input::default() }).expect_err("an error").to_string()
    };
    let folder = tempfile::tempdir().expect("a directory");
    assert!(fails(folder.path()).ends_with("found a folder, expected a file"));
    let long = folder.path().join("long");
    fs::write(&long, vec![b'#'; 10 * 1024 * 1024]).expect("a file");
    assert!(fails(&long).ends_with(&format!("found 10485760 bytes, expected at most {MAX_FILE_BYTES}")));
    let bytes = folder.path().join("bytes");
    fs::write(&bytes, b"name a\nname \xff\n").expect("a file");
    assert!(fails(&bytes).ends_with("found a byte that is not UTF-8 in line 2, expected text"));
    assert!(fails(&folder.path().join("nothing")).contains("No such file"));
    // Opening a pipe without a writer would block forever.
    let pipe = folder.path().join("pipe");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs");
    assert!(made.success());
    assert!(fails(&pipe).ends_with("found a pipe, socket or device, expected a file"));
}

#[test]
fn changes_are_split_by_whether_a_reload_applies_them() {
    let old = read(SMALL).expect("a configuration");
    let text = SMALL.replace("4001", "4002").replace("500ms", "600ms");
    let new = read(&format!("{text}log {{\n level warn\n}}\n")).expect("a configuration");
    let changes = new.changes_since(&old);
    assert_eq!(changes.at_reload, ["log level", "worker w-1 address"]);
    assert_eq!(changes.at_restart, ["class look-up aim"]);
    assert_eq!(old.changes_since(&old), Default::default());
}

/// Sections that the platform's JSON does not cover are still read from the file.
#[test]
fn the_platforms_json_takes_precedence_over_its_sections_in_the_file() {
    let files = Files::new(&[("main.conf", "name mine\nlimits {\n attempts 2\n}\nlog {\n format json\n}\n")]);
    let platform = json!({"name": "n0", "settings": {"limits": {"send_cap": 6}}});
    let path = files.path();
    let input =
        Input { file: Some(&path), platform: Some((platform, "p.json".into())), overrides: Vec::new() };
    let resolved = compile(input).expect("a configuration");
    assert_eq!(resolved.tree["name"], json!("n0"));
    assert_eq!(resolved.tree["settings"], json!({"limits": {"send_cap": 6}}));
    assert_eq!(resolved.tree["log"]["format"], json!("json"));
    assert_eq!(resolved.warnings.len(), 2, "{:?}", resolved.warnings);
    let rows = resolved.rows();
    let row = rows.iter().find(|row| row.key == "limits attempts").expect("a row");
    assert_eq!((row.value.as_str(), row.origin.to_string().as_str()), ("6", "p.json"));
}

/// Each default is parsed by its own keyword, and no two keywords of a section share a name or a path.
#[test]
fn defaults_are_valid_and_names_and_paths_are_unique() {
    for section in schema::SECTIONS {
        for (index, keyword) in section.keywords.iter().enumerate() {
            assert!(!section.keywords[..index]
                .iter()
                .any(|k| k.name == keyword.name || k.path == keyword.path));
            assert!(keyword.doc.ends_with('.'), "{}", keyword.name);
        }
    }
    let resolved = read(SMALL).expect("a configuration");
    let rows = resolved.rows();
    for section in
        schema::SECTIONS.iter().filter(|s| !["faktory", "vrrp", "control", "tenant"].contains(&s.name))
    {
        for keyword in section.keywords {
            if let schema::Absent::Default(text) = keyword.absent {
                let row = rows
                    .iter()
                    .find(|row| row.key.ends_with(keyword.name) && row.key.starts_with(section.name));
                assert_eq!(row.expect(keyword.name).value, text, "{} {}", section.name, keyword.name);
            }
        }
    }
}

/// `docs/configuration.md` contains the table of keywords as `rookspoke config keywords` prints it.
#[test]
fn the_reference_matches_the_keyword_table() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/configuration.md");
    let page = fs::read_to_string(page).expect("docs/configuration.md");
    assert!(
        page.contains(&schema::markdown()),
        "replace the tables in docs/configuration.md by the output of `rookspoke config keywords`"
    );
}

proptest::proptest! {
    /// Arbitrary text either parses or yields errors, without a panic or an endless loop.
    #[test]
    fn parsing_terminates_on_any_text(text in "(\\PC|[\n\\\\\"{}# ]|class|listen|include|worker){0,60}") {
        let _ = read(&text);
    }
}
