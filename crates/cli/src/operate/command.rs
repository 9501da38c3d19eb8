//! Commands and their arguments.

use clap::{Arg, ArgAction, Command, value_parser};

/// All commands towards a running system.
pub fn commands() -> Vec<Command> {
    let commands = [
        config(),
        preset(),
        team(),
        targets("drain", "Gives no new work to targets"),
        targets("undrain", "Gives new work to targets again"),
        key(),
        Command::new("instances").about("Lists entry instances and their versions"),
        Command::new("suspects").about("Lists targets that instances have reason to avoid"),
        Command::new("outcomes")
            .about("Shows outcomes by team at one instance, since it started")
            .arg(Arg::new("team").long("team").help("Only this team")),
    ];
    commands.into_iter().map(with_connection).collect()
}

fn with_connection(command: Command) -> Command {
    command
        .arg(
            Arg::new("entry")
                .long("entry")
                .global(true)
                .env("BLUEBELLPATH_ENTRY")
                .value_delimiter(',')
                .default_value("127.0.0.1:7000")
                .value_parser(value_parser!(std::net::SocketAddr))
                .help("Addresses of entry instances; the first that answers is used"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .global(true)
                .env("BLUEBELLPATH_KEY")
                .hide_env_values(true)
                .help("Key as NAME.SECRET"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Prints JSON in place of tables"),
        )
}

/// Arguments of commands that change the configuration.
fn change(command: Command) -> Command {
    command
        .arg(
            Arg::new("reason")
                .long("reason")
                .required(true)
                .help("Reason, for the history"),
        )
        .arg(
            Arg::new("operation")
                .long("operation")
                .help("Operation id, to ask again after a lost answer [default: random]"),
        )
        .arg(
            Arg::new("if-match")
                .long("if-match")
                .value_parser(value_parser!(u64))
                .help("Version that the change is meant for [default: the newest]"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Checks the change without making it"),
        )
}

fn parent(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true)
}

fn name(help: &'static str) -> Arg {
    Arg::new("name").required(true).help(help)
}

fn number(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_parser(value_parser!(u64)).help(help)
}

fn config() -> Command {
    let from = number("from", "Version before").long("from").required(true);
    let file = || Arg::new("file").required(true).help("JSON with comments");
    parent("config", "Shows and changes the configuration")
        .subcommand(
            Command::new("get")
                .about("Prints the content of the newest or of an earlier version")
                .arg(number("version", "Version [default: the newest]").long("version")),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what changed between two versions")
                .arg(from)
                .arg(number("to", "Version after [default: the newest]").long("to")),
        )
        .subcommand(change(
            Command::new("apply")
                .about("Puts the content of a file in place of the present one")
                .arg(file()),
        ))
        .subcommand(change(
            Command::new("restore")
                .about("Rolls forward to an earlier content; keys stay as they are")
                .arg(number("version", "Version whose content shall hold again").required(true)),
        ))
        .subcommand(
            Command::new("history")
                .about("Lists who changed what, when and why")
                .arg(number("after", "Only versions after this one").long("after"))
                .arg(
                    number("limit", "Most entries")
                        .long("limit")
                        .default_value("20"),
                ),
        )
        .subcommand(Command::new("in-force").about("Shows what an instance acts under now"))
        .subcommand(
            Command::new("at")
                .about("Shows what was in force at a wall time")
                .arg(number("ms", "Milliseconds since the epoch").required(true)),
        )
        .subcommand(
            Command::new("operation")
                .about("Shows what became of an operation")
                .arg(name("Operation id")),
        )
}

fn preset() -> Command {
    parent("preset", "Shows and switches presets")
        .subcommand(Command::new("list").about("Lists presets"))
        .subcommand(change(
            Command::new("switch")
                .about("Puts another preset in force")
                .arg(name("Preset")),
        ))
}

fn team() -> Command {
    let option = |id: &'static str, help| {
        Arg::new(id)
            .long(id)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    parent("team", "Shows and changes teams")
        .subcommand(Command::new("list").about("Lists teams"))
        .subcommand(change(
            Command::new("set")
                .about("Adds a team, or changes the limits that are given")
                .arg(name("Team"))
                .arg(option(
                    "weight",
                    "Share against other teams [default for new ones: 1]",
                ))
                .arg(option(
                    "sustained-per-s",
                    "Task starts a second [default for new ones: 10]",
                ))
                .arg(option(
                    "burst",
                    "Task starts at once [default for new ones: 100]",
                )),
        ))
        .subcommand(change(
            Command::new("remove")
                .about("Removes a team")
                .arg(name("Team")),
        ))
}

fn targets(verb: &'static str, about: &'static str) -> Command {
    let domain = || {
        Arg::new("domain")
            .required(true)
            .value_parser(value_parser!(u16))
            .help("Place of the failure domain in the settings' list, from 0")
    };
    let rack = Arg::new("rack")
        .required(true)
        .value_parser(value_parser!(u32))
        .help("Rack within the domain");
    parent(verb, about)
        .subcommand(change(
            Command::new("target")
                .about("One target")
                .arg(name("Target")),
        ))
        .subcommand(change(
            Command::new("rack").about("A rack").arg(domain()).arg(rack),
        ))
        .subcommand(change(
            Command::new("domain")
                .about("A failure domain")
                .arg(domain()),
        ))
}

fn key() -> Command {
    let role = Arg::new("role").long("role").required(true).value_parser([
        "team",
        "viewer",
        "operator",
        "administrator",
    ]);
    parent("key", "Makes and removes keys")
        .subcommand(change(
            Command::new("new")
                .about("Makes a key and prints its secret, once")
                .arg(name("Operator, or team"))
                .arg(role),
        ))
        .subcommand(change(
            Command::new("remove")
                .about("Removes a key")
                .arg(name("Operator, or team")),
        ))
}
