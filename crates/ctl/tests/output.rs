//! Results that can't be written to standard output.

mod common;

use common::{SIGN_FIRST, Workdir, ok};
use std::fs::File;
use std::io::Write;
use std::process::{Command, ExitStatus, Stdio};

/// A log line of a node.
const LINE: &str = r#"{"time":1000,"event":"ended","id":"r1","status":200,"outcome":"answered"}"#;

/// Runs `wigeonctl` with `LINE` on standard input and returns its exit status and errors.
fn run(dir: &Workdir, args: &[&str], stdout: Stdio) -> (ExitStatus, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonctl"));
    command.current_dir(dir.path()).args(args);
    command.stdin(Stdio::piped()).stdout(stdout);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    // Commands that don't read standard input may have ended.
    let _ = writeln!(child.stdin.take().unwrap(), "{LINE}");
    let output = child.wait_with_output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status, errors)
}

/// Returns a pipe that has no reader any more.
fn closed_pipe() -> Stdio {
    let (_reader, writer) = std::io::pipe().unwrap();
    writer.into()
}

// Guards against a script that goes on with an empty file: the disk is full, the result is lost, and
// the command reports success.
#[test]
fn full_disk_is_a_failure() {
    let dir = Workdir::new("full-disk");
    dir.signers(&["mira"]);
    let commands: [&[&str]; 6] = [
        &["check", "bundle.ini"],
        &["diff", "bundle.ini", "bundle.ini"],
        &["explain", "r1"],
        &["losses"],
        &["keygen", "--name", "tuya", "--key", "tuya.pem"],
        &SIGN_FIRST,
    ];
    for args in commands {
        for format in ["text", "json"] {
            let args = [args, &["--output", format]].concat();
            let full = File::options().write(true).open("/dev/full").unwrap();
            let (status, errors) = run(&dir, &args, full.into());
            let _ = std::fs::remove_file(dir.path().join("tuya.pem"));
            assert_eq!(status.code(), Some(1), "{args:?}: {errors}");
            assert!(errors.contains("stdout"), "{args:?}: {errors}");
        }
    }
}

// A reader such as `head` that has seen enough is no failure, but a signed version that was not
// read is lost.
#[test]
fn closed_pipe_is_no_failure_unless_a_version_is_lost() {
    let dir = Workdir::new("closed-pipe");
    dir.signers(&["mira"]);
    let (status, errors) = run(&dir, &["explain", "r1"], closed_pipe());
    assert!(status.success() && errors.is_empty(), "{errors}");
    let (status, errors) = run(&dir, &SIGN_FIRST, closed_pipe());
    assert_eq!(status.code(), Some(1), "{errors}");
    ok(&dir.run(&SIGN_FIRST));
}
