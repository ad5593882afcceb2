/// The paths of the programs that a process fleet runs, which a test or bench takes from its own build.
#[derive(Clone, Copy, Debug)]
pub struct ProgramPaths {
    /// The operators' command.
    pub command: &'static str,
    /// The daemon.
    pub daemon: &'static str,
    /// The stand-in platform.
    pub platform: &'static str,
    /// The stand-in upstream.
    pub upstream: &'static str,
}

/// Returns the [`ProgramPaths`] of this package's build.
#[macro_export]
macro_rules! program_paths {
    () => {
        $crate::ProgramPaths {
            command: env!("CARGO_BIN_EXE_medlarspool-under-test"),
            daemon: env!("CARGO_BIN_EXE_medlarspoold-under-test"),
            platform: env!("CARGO_BIN_EXE_stand-in-platform"),
            upstream: env!("CARGO_BIN_EXE_stand-in-upstream"),
        }
    };
}
