import process from 'node:process';
import {Writable} from 'node:stream';
import bunyan from 'bunyan';

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';

export type LogOptions = {
	/** Name of the program, in every line. */
	readonly name: string;
	/** Default: `info`. */
	readonly level?: LogLevel;
	/** Default: standard output. */
	readonly output?: NodeJS.WritableStream;
	/** Fields that appear in every line, for example `slot`. */
	readonly fields?: Readonly<Record<string, string | number>>;
};

export type Logger = bunyan;

const coreFields = new Set(['v', 'pid', 'hostname', 'name', 'time', 'level', 'msg']);
const unquotedValuePattern = /^[^\s"=]+$/v;

function formatValue(value: unknown): string {
	const text = typeof value === 'string' ? value : JSON.stringify(value) ?? 'undefined';
	return unquotedValuePattern.test(text) ? text : JSON.stringify(text);
}

/** Formats one bunyan record as a single line of key=value pairs. */
export function formatRecord(record: Readonly<Record<string, unknown>>): string {
	const pairs: Array<[string, unknown]> = [
		['time', record.time instanceof Date ? record.time.toISOString() : record.time],
		['level', bunyan.nameFromLevel[record.level as number] ?? record.level],
		['name', record.name],
		['event', record.msg],
	];
	for (const [key, value] of Object.entries(record)) {
		if (!coreFields.has(key) && value !== undefined) {
			pairs.push([key, value]);
		}
	}

	return pairs.map(([key, value]) => `${key}=${formatValue(value)}`).join(' ');
}

/** Creates a logger that prints one line of key=value pairs for each event. */
export function createLogger(options: LogOptions): Logger {
	const output = options.output ?? process.stdout;
	const stream = new Writable({
		objectMode: true,
		write(record: Record<string, unknown>, _encoding, callback) {
			output.write(`${formatRecord(record)}\n`);
			callback();
		},
	});
	return bunyan.createLogger({
		name: options.name,
		streams: [{type: 'raw', stream, level: options.level ?? 'info'}],
		serializers: {err: bunyan.stdSerializers.err},
		...options.fields,
	});
}
