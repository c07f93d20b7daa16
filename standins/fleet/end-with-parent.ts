/** Loaded into child processes with `--import`: ends the process when its standard input closes, so that it does not outlive its parent. */
import process from 'node:process';

process.stdin.once('close', () => {
	process.kill(process.pid, 'SIGKILL');
});
process.stdin.resume();
// The pipe must not keep a finished process alive.
(process.stdin as unknown as {unref(): void}).unref();
