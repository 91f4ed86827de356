//! Files as operators write them, right and wrong.

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

struct Files(TempDir);

impl Files {
    fn new(files: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        for (name, text) in files {
            let path = folder.path().join(name);
            fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
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
        // What the folder is called is no matter.
        let folder = format!("{}/", self.0.path().display());
        result.map_err(|problems| problems.render().replace(&folder, ""))
    }
}

fn read(text: &str) -> Result<Resolved, String> {
    Files::new(&[("main.conf", text)]).read(Vec::new())
}

fn errors(text: &str) -> String {
    // The first line of each problem; the picture beneath it is the library's.
    let rendered = read(text).expect_err("an error");
    let firsts =
        rendered.lines().filter(|line| line.starts_with("main.conf:") || line.starts_with("configuration:"));
    firsts.map(|line| format!("{line}\n")).collect()
}

#[test]
fn a_small_file_says_all_that_the_platforms_json_says() {
    let resolved = read(SMALL).expect("a configuration");
    insta::assert_snapshot!(serde_json::to_string_pretty(&resolved.tree).expect("JSON"));
}

#[test]
fn each_value_knows_where_it_came_from() {
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
fn what_is_wrong_is_told_with_place_found_and_expected() {
    insta::assert_snapshot!(errors(
        "lisen 127.0.0.1:3000\nlisten 3000\nsockets 7\nzone a b\nname\nname \"x\ny\\\nclass a {\n effect twice\n aim 500\n \
         deadline 10s extra\n drain-grace 1s\n}\nrules { cold-from 1\n}\nworkr x {\n}\n}\nfaktory\n"
    ));
}

#[test]
fn what_only_several_lines_tell_is_checked() {
    insta::assert_snapshot!(errors("listen 127.0.0.1:1\n"));
    let more = format!("{SMALL}zones a b\nnumber 3\nvrrp {{\n listen 127.0.0.1:1\n peers 127.0.0.2:1\n router 1\n addresses 192.0.2.1\n}}\nfaktory {{\n listen 127.0.0.1:0\n}}\n");
    insta::assert_snapshot!(errors(&more));
}

#[test]
fn a_section_or_keyword_that_comes_twice_names_the_first() {
    insta::assert_snapshot!(errors(&format!("{SMALL}name a\nname b\nclass look-up {{\n}}\n")));
}

#[test]
fn a_section_that_is_never_closed_is_told_where_it_opened() {
    insta::assert_snapshot!(errors("name a\nclass x {\n aim 1s\n"));
}

/// The line is named with its own file, not with the one that includes it.
#[test]
fn a_bad_line_in_an_included_file() {
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
fn includes_end() {
    let text = format!("{SMALL}include main.conf\n");
    assert!(read(&text).expect_err("an error").contains("includes itself"));
    let text = format!("{SMALL}include nowhere.conf\n");
    assert!(read(&text).expect_err("an error").contains("No such file"));
    let chain: Vec<(String, String)> =
        (0..20).map(|n| (format!("{n}.conf"), format!("include {}.conf\n", n + 1))).collect();
    let mut files = vec![("main.conf", "include 0.conf\n")];
    files.extend(chain.iter().map(|(name, text)| (name.as_str(), text.as_str())));
    assert!(Files::new(&files).read(Vec::new()).expect_err("an error").contains("within each other"));
}

#[test]
fn what_is_no_file_of_lines_is_turned_down_unread() {
    let fails = |path: &Path| {
        compile(Input { file: Some(path), ..Input::default() }).expect_err("an error").to_string()
    };
    let folder = tempfile::tempdir().expect("a folder");
    assert!(fails(folder.path()).ends_with("found a folder, expected a file"));
    let long = folder.path().join("long");
    fs::write(&long, vec![b'#'; 10 * 1024 * 1024]).expect("a file");
    assert!(fails(&long).ends_with(&format!("found 10485760 bytes, expected at most {MAX_FILE_BYTES}")));
    let bytes = folder.path().join("bytes");
    fs::write(&bytes, b"name a\nname \xff\n").expect("a file");
    assert!(fails(&bytes).ends_with("found a byte that is not UTF-8 in line 2, expected text"));
    assert!(fails(&folder.path().join("nothing")).contains("No such file"));
    // Its opening would never return.
    let pipe = folder.path().join("pipe");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs");
    assert!(made.success());
    assert!(fails(&pipe).ends_with("found a pipe, socket or device, expected a file"));
}

#[test]
fn a_reload_knows_what_it_heeds() {
    let old = read(SMALL).expect("a configuration");
    let text = SMALL.replace("4001", "4002").replace("500ms", "600ms");
    let new = read(&format!("{text}log {{\n level warn\n}}\n")).expect("a configuration");
    let changes = new.changes_since(&old);
    assert_eq!(changes.at_reload, ["log level", "worker w-1 address"]);
    assert_eq!(changes.at_restart, ["class look-up aim"]);
    assert_eq!(old.changes_since(&old), Default::default());
}

/// The platform's JSON wins; what is ours alone is taken from the file.
#[test]
fn beside_the_platforms_json_only_our_own_sections_count() {
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

/// Every default can be read by its own keyword, and no two keywords of a section share a name or a place.
#[test]
fn the_table_holds_together() {
    for section in schema::SECTIONS {
        for (at, keyword) in section.keywords.iter().enumerate() {
            assert!(!section.keywords[..at].iter().any(|k| k.name == keyword.name || k.path == keyword.path));
            assert!(keyword.doc.ends_with('.') || keyword.name == "fall-multiple", "{}", keyword.name);
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

/// The page for operators is this table: `rookspoke config keywords` prints it.
#[test]
fn the_page_has_every_keyword_as_the_table_does() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/configuration.md");
    let page = fs::read_to_string(page).expect("docs/configuration.md");
    assert!(page.contains(&schema::markdown()), "run `rookspoke config keywords` and put it in the page");
}

proptest::proptest! {
    /// Whatever the bytes are, reading ends, and what is wrong is told.
    #[test]
    fn any_text_is_read_or_turned_down(text in "(\\PC|[\n\\\\\"{}# ]|class|listen|include|worker){0,60}") {
        let _ = read(&text);
    }
}
