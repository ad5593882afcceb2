//! The command as a process: its output streams and exit codes.

use std::process::{Command, Output};

use rstest::rstest;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarspool"));
    command.args(arguments).output().expect("process")
}

#[rstest]
#[case::help(&["--help"], 0, "Usage: medlarspool SUBCOMMAND")]
#[case::version(&["--version"], 0, "medlarspool 0.1.0")]
#[case::subcommand_help(&["put", "--help"], 0, "Usage: medlarspool put [options]")]
#[case::operands_help(&["restore", "--help"], 0, "Usage: medlarspool restore VERSION [options]")]
fn help_goes_to_standard_output(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(code));
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.starts_with(expected), "{text}");
}

#[rstest]
#[case::nothing(&[], "no subcommand is named; see `medlarspool --help`")]
#[case::subcommand(&["puts"], "`puts` is no subcommand; see `medlarspool --help`")]
#[case::option(&["put", "--files"], "Unrecognized option: 'files'; see `medlarspool --help`")]
#[case::missing(&["get"], "`--platform` is missing; see `medlarspool --help`")]
#[case::address(
    &["get", "--platform", "here", "--token", "t"],
    "`--platform` can't be `here`; see `medlarspool --help`"
)]
#[case::operands(
    &["restore", "--platform", "127.0.0.1:9"],
    "`0` operands are given but `1` are needed; see `medlarspool --help`"
)]
fn a_wrong_command_line_exits_with_2(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(text, format!("medlarspool: {expected}\n"));
}

#[test]
fn errors_are_json_for_scripts() {
    let output = run(&["get", "--json"]);
    let text = String::from_utf8(output.stderr).expect("text");
    let expected = r#"{"error":"`--platform` is missing; see `medlarspool --help`","exit_code":2}"#;
    assert_eq!(text.trim_end(), expected);
}

#[test]
fn an_unreachable_platform_exits_with_4() {
    let output = run(&["get", "--platform", "127.0.0.1:9", "--token", "t"]);
    assert_eq!(output.status.code(), Some(4));
}
