import {FailureError} from '../../shared/failure.js';
import type {
	Configuration, ServiceConfiguration, TierConfiguration, WorkspaceConfiguration,
} from '../../shared/configuration/index.js';

/** Request headers with lower-case names; the values of a repeated header are joined. */
export type CallerHeaders = Readonly<Record<string, string>>;

type Operation = Extract<ServiceConfiguration, {kind: 'plain'}>['operations'][number];

/** Names come from callers, so inherited properties such as `constructor` must not be found. */
function findOwnProperty<Value>(record: Readonly<Record<string, Value>>, name: string): Value | undefined {
	return Object.hasOwn(record, name) ? record[name] : undefined;
}

/**
@throws {FailureError} `missing-workspace` or `unknown-workspace`
*/
export function checkWorkspace(configuration: Configuration, headers: CallerHeaders): {name: string; workspace: WorkspaceConfiguration} {
	const name = headers['x-workspace'];
	if (name === undefined || name === '') {
		throw FailureError.create('missing-workspace', 'name the workspace in the header x-workspace');
	}

	const workspace = findOwnProperty(configuration.workspaces, name);
	if (workspace === undefined) {
		throw FailureError.create('unknown-workspace', `workspace ${name} is not configured`);
	}

	return {name, workspace};
}

/**
Returns the tier that the caller requested, or the default tier of its workspace.

@throws {FailureError} `unknown-tier` or `tier-not-allowed`
*/
export function checkTier(configuration: Configuration, headers: CallerHeaders, workspace: WorkspaceConfiguration): {name: string; tier: TierConfiguration} {
	const name = headers['x-tier'] ?? workspace.defaultTier;
	const tier = findOwnProperty(configuration.tiers, name);
	if (tier === undefined) {
		throw FailureError.create('unknown-tier', `tier ${name} is not configured`);
	}

	const highest = findOwnProperty(configuration.tiers, workspace.highestTier);
	if (highest === undefined || tier.rank < highest.rank) {
		throw FailureError.create('tier-not-allowed', `tier ${name} is above ${workspace.highestTier}, the highest tier of the workspace`);
	}

	return {name, tier};
}

/**
@throws {FailureError} `malformed-request` when `x-timeout-ms` is not a positive integer
*/
export function checkQueueTimeout(headers: CallerHeaders, tier: TierConfiguration): number {
	const text = headers['x-timeout-ms'];
	if (text === undefined) {
		return tier.queueTimeoutMilliseconds;
	}

	if (!/^[1-9]\d{0,8}$/v.test(text)) {
		throw FailureError.create('malformed-request', 'x-timeout-ms must be a positive number of milliseconds');
	}

	return Math.min(Number(text), tier.queueTimeoutMilliseconds);
}

/**
@throws {FailureError} `unsupported-media-type`
*/
export function checkJsonContentType(headers: CallerHeaders): void {
	const mediaType = headers['content-type']?.split(';')[0]!.trim().toLowerCase();
	if (mediaType !== 'application/json') {
		throw FailureError.create('unsupported-media-type', 'the content type must be application/json');
	}
}

/**
Returns the engine service that serves a model.

@throws {FailureError} `unknown-service`
*/
export function findEngineService(configuration: Configuration, model: string): string {
	for (const [name, service] of Object.entries(configuration.services)) {
		if (service.kind === 'engine' && service.models.includes(model)) {
			return name;
		}
	}

	throw FailureError.create('unknown-service', `model ${model} is not configured`);
}

function matchesOperation(operation: Operation, method: string, path: string): boolean {
	const {pathPrefix} = operation;
	return operation.method === method
		&& path.startsWith(pathPrefix)
		&& (pathPrefix.endsWith('/') || path.length === pathPrefix.length || path[pathPrefix.length] === '/');
}

/**
Returns the operation with the longest matching path prefix; prefixes match whole path segments.

@throws {FailureError} `unknown-service` or `unknown-operation`
*/
export function findOperation(configuration: Configuration, serviceName: string, method: string, path: string): Operation {
	const service = findOwnProperty(configuration.services, serviceName);
	if (service?.kind !== 'plain') {
		throw FailureError.create('unknown-service', `plain service ${serviceName} is not configured`);
	}

	const [operation] = service.operations
		.filter(candidate => matchesOperation(candidate, method, path))
		.toSorted((first, second) => second.pathPrefix.length - first.pathPrefix.length);
	if (operation === undefined) {
		throw FailureError.create('unknown-operation', `service ${serviceName} has no operation ${method} ${path}`);
	}

	return operation;
}
