//! Definition of the command line.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgGroup, Command, crate_version, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Returns the definition of all subcommands and flags.
pub fn command() -> Command {
    Command::new("wigeonctl")
        .version(crate_version!())
        .about("Signs, publishes and shows the bundles of wigeonshelf")
        .after_help("Exit codes: 0 done, 1 failed or lost a race, 2 bad input.")
        .subcommand_required(true)
        .arg(output())
        .subcommand(keygen())
        .subcommand(check())
        .subcommand(diff())
        .subcommand(sign())
        .subcommand(publish())
        .subcommand(status())
        .subcommand(history())
        .subcommand(dump())
        .subcommand(restore())
        .subcommand(explain())
        .subcommand(losses())
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .default_value("text")
        .help("Form of the output")
}

fn keygen() -> Command {
    Command::new("keygen")
        .about("Makes a signing key")
        .arg(name())
        .arg(file(
            "key",
            "Where to write the private key (PKCS #8 PEM); must not exist",
        ))
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a bundle's text and reports all findings")
        .arg(path("file", "Bundle text"))
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows the sections that differ; exits 0 also if some do")
        .arg(path(
            "old",
            "Bundle text, or a record that `sign` or a node gave",
        ))
        .arg(path("new", "Bundle text"))
}

fn sign() -> Command {
    Command::new("sign")
        .about("Checks and signs a bundle as the version after the head")
        .arg(path("file", "Bundle text"))
        .arg(name())
        .arg(file("key", "The private key"))
        .arg(path_option(
            "out",
            "Where to write the signed version; stdout if not given",
        ))
        .arg(
            Arg::new("first")
                .long("first")
                .action(ArgAction::SetTrue)
                .help("It is the first version of all"),
        )
        .arg(path_option(
            "parent",
            "Record of the head, as `dump --format head` gives it",
        ))
        .args([admin(), log(), trust()])
        .group(
            ArgGroup::new("head")
                .args(["first", "parent", "admin", "log"])
                .required(true),
        )
}

fn publish() -> Command {
    Command::new("publish")
        .about("Publishes a signed version and tells how its race ended")
        .arg(path("file", "Signed version"))
        .args([admin(), log(), trust()])
        .group(ArgGroup::new("way").args(["admin", "log"]).required(true))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .requires("admin")
                .help("Return when every listed node has it in force"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..=86_400))
                .default_value("60")
                .help("Longest time to wait for the nodes"),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Shows a node's state")
        .arg(admin().required(true))
}

fn history() -> Command {
    Command::new("history")
        .about("Shows the versions that were in force")
        .args([admin(), log(), trust()])
        .group(ArgGroup::new("way").args(["admin", "log"]).required(true))
}

fn dump() -> Command {
    let formats = PossibleValuesParser::new(["text", "json", "head"]);
    Command::new("dump")
        .about("Shows all that a node knows")
        .arg(admin().required(true))
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(formats)
                .help("head: the bundle in force as a record; else the node's state"),
        )
}

fn restore() -> Command {
    Command::new("restore")
        .about("Lets a log that lost its records go on from a saved head")
        .arg(path(
            "file",
            "Record of the head, as `dump --format head` gives it",
        ))
        .arg(log().required(true))
        .arg(trust())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells the story of one request from nodes' log lines on standard input")
        .arg(Arg::new("id").required(true).help("The request's id"))
}

fn losses() -> Command {
    let number = |name: &'static str, unit: &'static str, default: &'static str, help| {
        Arg::new(name)
            .long(name)
            .value_name(unit)
            .value_parser(value_parser!(u64).range(1..=86_400_000))
            .default_value(default)
            .help(help)
    };
    Command::new("losses")
        .about(
            "Accounts for late and lost requests by cause, from nodes' log lines on standard input",
        )
        .arg(
            path_option(
                "compare",
                "Two files of lines to compare, read in place of standard input",
            )
            .num_args(2)
            .value_names(["A", "B"])
            .conflicts_with("svg"),
        )
        .arg(path_option(
            "svg",
            "Also writes a chart of the losses over time",
        ))
        .arg(
            Arg::new("by-size")
                .long("by-size")
                .action(ArgAction::SetTrue)
                .conflicts_with("compare")
                .help("Also counts late and lost requests by the size of their prompts"),
        )
        .arg(number(
            "head",
            "MS",
            "500",
            "Time to an answer's head past which it is late",
        ))
        .arg(number(
            "pause",
            "MS",
            "250",
            "Time between two events past which it is late",
        ))
        .arg(number(
            "every",
            "SECONDS",
            "2",
            "Interval of the table over time",
        ))
}

fn name() -> Arg {
    Arg::new("name")
        .long("name")
        .value_name("NAME")
        .required(true)
        .help("Name of the person who signs")
}

fn admin() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("A node's admin listener")
}

fn log() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .requires("trust")
        .help("The log service")
}

fn trust() -> Arg {
    path_option(
        "trust",
        "File with a section [trust], such as a node's settings",
    )
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn path_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    path_option(name, help).required(true)
}
