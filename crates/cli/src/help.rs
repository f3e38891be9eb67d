//! Help texts.

/// `ladderstage --help`
pub const TOP: &str = "\
ladderstage: command line for operators and trainers

USAGE
    ladderstage COMMAND [OPTIONS]

COMMANDS
    keygen           create a key for signing bundles
    bundle           check, diff, sign, verify and roll bundles, and show their status
    status           show the status of a daemon
    members          list the members of the cluster
    trainer status   show the progress of a trainer's step
    explain          explain which back end a request would run on

OPTIONS OF ALL COMMANDS
    --daemon URL     URL of a daemon; may be repeated [default: http://127.0.0.1:8080]
    --json           print results as JSON
    -h, --help       print the help of a command
    -V, --version    print the version

EXIT CODES
    0  done
    1  refused or failed
    2  invalid usage or input
    3  outcome unknown: the command may or may not have taken effect

EXAMPLES
    ladderstage keygen --id ops-2026 --out ops.key
    ladderstage bundle sign --key ops.key fjordkarm.toml
    ladderstage bundle roll --daemon http://10.0.0.5:8080 fjordkarm.signed.json
";

/// `ladderstage keygen --help`
pub const KEYGEN: &str = "\
Creates a key for signing bundles, in a file that only its owner may read.
Prints the line for the settings of the daemons that are to trust the key.

USAGE
    ladderstage keygen --id KEY_ID --out FILE

EXAMPLE
    ladderstage keygen --id ops-2026 --out ops.key
";

/// `ladderstage bundle --help`
pub const BUNDLE: &str = "\
Bundles set weight versions, staleness bounds, priorities and which back ends take which work.

COMMANDS
    check    print all problems of a bundle with their positions
    diff     show the changes between two bundles
    sign     sign a bundle
    verify   verify the signatures of a bundle
    roll     roll a signed bundle and wait until it is in force on all members
    status   show the bundle in force on all members, or the state of a roll

EXAMPLES
    ladderstage bundle check fjordkarm.toml
    ladderstage bundle status --daemon http://10.0.0.5:8080
";

/// `ladderstage bundle check --help`
pub const BUNDLE_CHECK: &str = "\
Prints all problems of a bundle: file, line, column, the value found, and the allowed values.

USAGE
    ladderstage bundle check [--against FILE | --daemon URL] FILE

OPTIONS
    --against FILE   check as the successor of this bundle
    --daemon URL     check as the successor of the bundle in force on this daemon

EXAMPLE
    ladderstage bundle check --daemon http://10.0.0.5:8080 fjordkarm.toml
";

/// `ladderstage bundle diff --help`
pub const BUNDLE_DIFF: &str = "\
Shows the values that differ between a bundle and an earlier one.

USAGE
    ladderstage bundle diff (--against FILE | --daemon URL) FILE

EXAMPLE
    ladderstage bundle diff --daemon http://10.0.0.5:8080 fjordkarm.toml
";

/// `ladderstage bundle sign --help`
pub const BUNDLE_SIGN: &str = "\
Signs a valid bundle. If it is already signed, another signature is added, for example to rotate keys.

USAGE
    ladderstage bundle sign --key KEY_FILE [--out FILE] FILE

OPTIONS
    --key KEY_FILE   key file that only its owner may read
    --out FILE       output file [default: the bundle's name with .signed.json]

EXAMPLES
    ladderstage bundle sign --key ops.key fjordkarm.toml
    ladderstage bundle sign --key next.key fjordkarm.signed.json
";

/// `ladderstage bundle verify --help`
pub const BUNDLE_VERIFY: &str = "\
Verifies the signatures of a bundle in the same way as a daemon.

USAGE
    ladderstage bundle verify (--trusted KEY_ID=PUBLIC_KEY | --settings FILE) FILE

OPTIONS
    --trusted KEY_ID=PUBLIC_KEY   a trusted key in hexadecimal; may be repeated
    --settings FILE               trust the keys of a daemon's settings file

EXAMPLE
    ladderstage bundle verify --settings daemon.toml fjordkarm.signed.json
";

/// `ladderstage bundle roll --help`
pub const BUNDLE_ROLL: &str = "\
Rolls a signed bundle and waits until it is in force on all members that the daemon knows. Prints the time this
took, or the members that do not have it. If another bundle has the revision, prints that bundle. The same file
can be rolled again at any time and takes effect at most once.

USAGE
    ladderstage bundle roll [--daemon URL]... [--timeout SECONDS] FILE

OPTIONS
    --daemon URL        daemons to try in turn [default: http://127.0.0.1:8080]
    --timeout SECONDS   total time limit [default: 30]

EXAMPLE
    ladderstage bundle roll --daemon http://10.0.0.5:8080 --daemon http://10.0.1.5:8080 fjordkarm.signed.json
";

/// `ladderstage bundle status --help`
pub const BUNDLE_STATUS: &str = "\
Shows the bundle in force on all members, or the state of a roll whose outcome was unknown.

USAGE
    ladderstage bundle status [--daemon URL]... [--proposal ID]

EXAMPLES
    ladderstage bundle status --daemon http://10.0.0.5:8080
    ladderstage bundle status --proposal 3f1c9a5e0b7d42f18c6e2a9b4d5f6071
";

/// `ladderstage status --help`
pub const STATUS: &str = "\
Shows the status of a daemon: readiness with reasons, bundle, members, back ends, orders and shards.

USAGE
    ladderstage status [--daemon URL]

EXAMPLE
    ladderstage status --daemon http://10.0.0.5:8080 --json
";

/// `ladderstage members --help`
pub const MEMBERS: &str = "\
Lists the members of the cluster and their states, as known to a daemon.

USAGE
    ladderstage members [--daemon URL]

EXAMPLE
    ladderstage members --daemon http://10.0.0.5:8080
";

/// `ladderstage trainer --help`
pub const TRAINER: &str = "\
COMMANDS
status   show the progress of a trainer's step

EXAMPLE
    ladderstage trainer status karm-trainer 7
";

/// `ladderstage trainer status --help`
pub const TRAINER_STATUS: &str = "\
Shows the progress of a trainer's step.

USAGE
    ladderstage trainer status [--daemon URL] TRAINER STEP

EXAMPLE
    ladderstage trainer status --daemon http://10.0.0.5:8080 karm-trainer 7
";

/// `ladderstage explain --help`
pub const EXPLAIN: &str = "\
Explains which back end a request of a class and pool would run on, and why others would not be chosen.

USAGE
    ladderstage explain --pool POOL [--class CLASS] [--daemon URL]

OPTIONS
    --pool POOL     pool of the bundle in force
    --class CLASS   class of the bundle in force [default: live]

EXAMPLE
    ladderstage explain --pool karm-lm --class rollout
";
