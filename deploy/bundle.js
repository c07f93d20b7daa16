/** Bundles the gateway into one file, because loading many modules takes most of its start time. */
import process from 'node:process';
import {build} from 'esbuild';

await build({
	entryPoints: ['src/gateway/main.ts'],
	outfile: process.argv[2] ?? 'target/jackdawfork-gateway.mjs',
	bundle: true,
	minify: true,
	// Node.js parses the line of a failed assertion for its message, in time that grows with the square of the column.
	lineLimit: 120,
	keepNames: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	alias: {undici: './deploy/undici-client.js'},
	// Optional native dependencies that the libraries can do without.
	external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support', 'msgpackr-extract'],
	// Bundled CommonJS modules load Node's built-in modules through `require`.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	logLevel: 'warning',
});
