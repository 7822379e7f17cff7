fn main() -> std::process::ExitCode {
    briargauge::daemon::main::<briargauge::sidecar::Sidecar>()
}
