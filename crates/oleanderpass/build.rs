//! Record the commit and the target of the build.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// What the build names in place of a commit if it is not in a repository of git.
const NO_REPOSITORY: &str = "no repository";

fn main() {
    let target = env::var("TARGET").unwrap_or_default();
    println!("cargo::rustc-env=OLEANDERPASS_TARGET={target}");
    let commit = commit().unwrap_or_else(|| NO_REPOSITORY.to_owned());
    println!("cargo::rustc-env=OLEANDERPASS_COMMIT={commit}");
}

/// Return the commit that is checked out. The files are read without git, which a machine that only
/// builds may lack.
fn commit() -> Option<String> {
    // The path is relative to the package, so that a build folder that was moved to another checkout
    // watches the files of that one.
    let git = PathBuf::from("../../.git");
    // A worktree has a file that names its directory.
    let git = match git.is_file() {
        true => PathBuf::from(read(&git)?.strip_prefix("gitdir: ")?),
        false => git,
    };
    let head = read(&git.join("HEAD"))?;
    let Some(reference) = head.strip_prefix("ref: ") else {
        return Some(head);
    };
    let common = read(&git.join("commondir")).map_or_else(|| git.clone(), |dir| git.join(dir));
    let loose = common.join(reference);
    // A packed reference becomes a file here when it changes.
    rerun_if_changed(loose.parent()?);
    read(&loose).or_else(|| {
        let packed = read(&common.join("packed-refs"))?;
        let mut lines = packed.lines().filter_map(|line| line.split_once(' '));
        let (commit, _) = lines.find(|(_, name)| *name == reference)?;
        Some(commit.to_owned())
    })
}

/// Return the trimmed text of a file, and run this script again when the file changes.
fn read(path: &Path) -> Option<String> {
    rerun_if_changed(path);
    let text = fs::read_to_string(path).ok()?;
    Some(text.trim().to_owned())
}

/// Run this script again when a file or a directory changes. Cargo would run it each time for a
/// missing one.
fn rerun_if_changed(path: &Path) {
    if path.exists() {
        println!("cargo::rerun-if-changed={}", path.display());
    }
}
