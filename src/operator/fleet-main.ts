#!/usr/bin/env node
/** `jackdawfork-fleet`: shows the state of running entry instances through their operator ports, and decisions of gateways through their monitoring ports. It is read-only. */
import {setTimeout as delay} from 'node:timers/promises';
import {InvalidArgumentError, type Command} from 'commander';
import {SystemClock} from '../shared/clock.js';
import {EntryClient} from './entry-client.js';
import {exitCodes} from './exit-codes.js';
import {
	formatAuditEntry, mergeAudit, parseSince, requireContents,
} from './fleet-audit.js';
import {formatExplanation, readExplanation, type ExplainQuestion} from './fleet-explain.js';
import {findProblems} from './fleet-problems.js';
import {readFleet, type Fleet} from './fleet.js';
import {OperatorError} from './operator-error.js';
import {
	createProgram, setExitCode, print, printJson, printDiagnostic, runProgram,
} from './program.js';
import {formatStatus} from './status-view.js';
import {checkRollout, waitScopes, type VersionRollout} from './version-rollout.js';

type FleetOptions = {
	readonly entry: string[];
	readonly requestTimeout: number;
	readonly json?: boolean;
};

type AuditOptions = FleetOptions & {
	readonly since?: string;
};

type WaitOptions = FleetOptions & {
	readonly version: number;
	readonly timeout: number;
	readonly interval: number;
	readonly quorum?: boolean;
};

type ExplainOptions = Omit<ExplainQuestion, 'prompt' | 'output' | 'deadline'> & {
	readonly gateway: string;
	readonly requestTimeout: number;
	readonly prompt?: number;
	readonly output?: number;
	readonly deadline?: number;
	readonly json?: boolean;
};

const clock = SystemClock.create();

const program = createProgram({
	name: 'jackdawfork-fleet',
	description: 'Shows the state of running entry instances. Exit codes: 0 fine, 1 something is wrong or was not reached, 2 wrong command line, 3 no entry, or not the gateway, answered.',
});

addFleetCommand('status', 'show configuration, leases, queues, endpoints, availability zones and current problems')
	.action(async (options: FleetOptions) => withClient(options, showStatus));

addFleetCommand('audit', 'show the audit trails of all entries in chronological order')
	.option('--since <time>', 'ISO 8601 time, or a duration before now such as 90s, 10m, 2h or 1d')
	.action(async (options: AuditOptions) => withClient(options, showAudit));

addFleetCommand('wait', 'wait until a configuration version is in force on every listed and every reachable entry')
	.requiredOption('--version <number>', 'the version, as returned by the configuration service', parseWholeNumber)
	.option('--timeout <seconds>', 'time after which to stop waiting', parseSeconds, 60)
	.option('--interval <seconds>', 'time between two reads of the fleet', parseSeconds, 0.5)
	.option('--quorum', 'a majority of the slots of every lease group is enough')
	.action(async (options: WaitOptions) => withClient(options, waitForVersion));

program.command('explain')
	.description('show where a gateway would send a request now, or where an open one stands, and why')
	.requiredOption('--gateway <host:port>', 'address of its metrics', address => collectAddress(address, [])[0]!)
	.option('--id <request>', 'id of an open request')
	.option('--route <name>', 'route of a request that is not sent')
	.option('--workspace <name>', 'its workspace')
	.option('--kind <kind>', 'its kind: idempotent, non-idempotent or streaming; must be that of the route')
	.option('--prompt <tokens>', 'its prompt tokens (default: 1000)', parseWholeNumber)
	.option('--output <tokens>', 'the output tokens that its caller expects', parseWholeNumber)
	.option('--deadline <ms>', 'time for which its caller waits (default: the timeout of the route)', parseWholeNumber)
	.option('--request-timeout <seconds>', 'timeout of the request to the gateway', parseSeconds, 2)
	.option('--json', 'print the result as JSON')
	.action(showExplanation);

function addFleetCommand(name: string, description: string): Command {
	return program.command(name)
		.description(description)
		.requiredOption('--entry <host:port...>', 'operator address of one or more entries; others are found through them', collectAddress)
		.option('--request-timeout <seconds>', 'timeout of one request to one entry', parseSeconds, 2)
		.option('--json', 'print the result as JSON');
}

function collectAddress(value: string, previous: string[] | undefined): string[] {
	const port = Number(/^[^\s:\/]+:(?<port>\d{1,5})$/v.exec(value)?.groups?.port);
	if (!(port >= 1 && port <= 65_535)) {
		throw new InvalidArgumentError('expected host:port');
	}

	return [...previous ?? [], value];
}

function parseSeconds(value: string): number {
	const number = Number(value);
	if (!(number > 0 && number <= 86_400)) {
		throw new InvalidArgumentError('expected a number above 0, at most 86400');
	}

	return number;
}

function parseWholeNumber(value: string): number {
	if (!/^\d{1,15}$/v.test(value)) {
		throw new InvalidArgumentError('expected a whole number');
	}

	return Number(value);
}

async function showExplanation({gateway, requestTimeout, json, id, route, workspace, kind, prompt, output, deadline}: ExplainOptions): Promise<void> {
	const explanation = await readExplanation(gateway, {
		id, route, workspace, kind, prompt: prompt?.toString(), output: output?.toString(), deadline: deadline?.toString(),
	}, requestTimeout * 1000);
	if (json) {
		printJson(explanation);
	} else {
		print(formatExplanation(explanation));
	}
}

async function withClient<Options extends FleetOptions>(options: Options, run: (client: EntryClient, options: Options) => Promise<void>): Promise<void> {
	const client = EntryClient.create({timeoutMs: options.requestTimeout * 1000});
	try {
		await run(client, options);
	} finally {
		await client.dispose();
	}
}

/** @throws {OperatorError} when no entry responds */
async function readReachableFleet(client: EntryClient, options: FleetOptions): Promise<Fleet> {
	const fleet = await readFleet(client, options.entry);
	if (fleet.entries.length === 0) {
		throw OperatorError.create('no-entry-reachable', describeUnreachable(fleet));
	}

	return fleet;
}

function describeUnreachable({unreachable}: Fleet): string {
	return unreachable.map(({address, type, detail}) => `${address} ${type}: ${detail}`).join('; ');
}

async function showStatus(client: EntryClient, options: FleetOptions): Promise<void> {
	const fleet = await readReachableFleet(client, options);
	const problems = findProblems(fleet);
	if (options.json) {
		printJson({...fleet, problems});
	} else {
		print(formatStatus(fleet, problems));
	}

	setExitCode(problems.length === 0 ? exitCodes.ok : exitCodes.checkFailed);
}

async function showAudit(client: EntryClient, options: AuditOptions): Promise<void> {
	const since = options.since === undefined ? 0 : parseSince(options.since, clock.wallTime());
	const fleet = await readReachableFleet(client, options);
	const results = await Promise.all(fleet.entries.map(async entry => client.readAudit(entry.address)));
	const audit = mergeAudit(requireContents(results), since);
	const failures = [...fleet.unreachable, ...results.filter(result => result.kind === 'failure')];
	if (options.json) {
		printJson({...audit, unreachable: failures});
	} else {
		for (const entry of audit.entries) {
			print(formatAuditEntry(entry));
		}
	}

	for (const {slot, heldSince} of audit.incomplete) {
		printDiagnostic(`${slot} holds entries only since ${new Date(heldSince).toISOString()}`);
	}

	for (const {address, type, detail} of failures) {
		printDiagnostic(`${address} ${type}: ${detail}`);
	}

	setExitCode(failures.length === 0 ? exitCodes.ok : exitCodes.checkFailed);
}

async function waitForVersion(client: EntryClient, options: WaitOptions): Promise<void> {
	const scope = options.quorum ? waitScopes.quorum : waitScopes.every;
	const deadlineAt = clock.now() + (options.timeout * 1000);
	for (;;) {
		// Each read of the fleet has to finish before the next one starts.
		// eslint-disable-next-line no-await-in-loop
		const fleet = await readFleet(client, options.entry);
		const rollout = checkRollout(fleet, options.version, scope);
		if (rollout.isReached || rollout.conflictingSlots.length > 0 || clock.now() >= deadlineAt) {
			reportRollout(fleet, rollout, options);
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(Math.min(options.interval * 1000, Math.max(0, deadlineAt - clock.now())));
	}
}

/** @throws {OperatorError} when no entry responded */
function reportRollout(fleet: Fleet, rollout: VersionRollout, options: WaitOptions): void {
	if (fleet.entries.length === 0) {
		throw OperatorError.create('no-entry-reachable', describeUnreachable(fleet));
	}

	if (options.json) {
		printJson({version: options.version, ...rollout});
	} else if (rollout.isReached) {
		print(`version ${options.version} is in force on ${rollout.reachedSlots.join(', ')}`);
	} else {
		for (const description of rollout.missing) {
			printDiagnostic(description);
		}

		if (rollout.conflictingSlots.length > 0) {
			printDiagnostic(`version ${options.version} has different contents on ${rollout.conflictingSlots.join(', ')}`);
		}

		printDiagnostic(`version ${options.version} was not reached`);
	}

	setExitCode(rollout.isReached ? exitCodes.ok : exitCodes.checkFailed);
}

await runProgram(program);
