//! Logging to standard error, one line per event: `time=... level=... node=... module=... event=... key=value ...`.

use std::io::Write;

/// Environment variable with the filter in the syntax of `env_logger`.
const FILTER_VARIABLE: &str = "LADDERSTAGE_LOG";

/// Filter if the variable is not set.
const DEFAULT_FILTER: &str = "info,rocket=error,hyper=error,reqwest=error,_=error";

/// Installs the logger. Later calls have no effect.
pub fn install(node: &str) {
    let node = node.to_owned();
    let environment = env_logger::Env::default().filter_or(FILTER_VARIABLE, DEFAULT_FILTER);
    let result = env_logger::Builder::from_env(environment)
        .format(move |buffer, record| {
            let seconds = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            writeln!(
                buffer,
                "time={}.{:03} level={} node={} module={} {}",
                seconds.as_secs(),
                seconds.subsec_millis(),
                record.level().as_str().to_lowercase(),
                node,
                record.target(),
                one_line(&record.args().to_string()),
            )
        })
        .try_init();
    // Fails if another node in this process has installed its logger.
    drop(result);
}

/// Escapes line breaks.
fn one_line(text: &str) -> String {
    text.replace('\n', "\\n").replace('\r', "\\r")
}
