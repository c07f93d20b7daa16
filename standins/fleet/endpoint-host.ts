/** Starts the stand-in endpoints of a deployment, in this process or in child processes. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {DisposableStore} from '../../src/shared/disposable-store.js';
import {Engine} from '../engine.js';
import {PlainService} from '../plain-service.js';
import {FleetProcess} from './fleet-process.js';
import type {Deployment} from './deployment.js';
import {EndpointControl, type EndpointKind} from './endpoint-control.js';

export type EndpointHostOptions = {
	readonly deployment: Deployment;
	/** Directory of settings and logs. */
	readonly directory: string;
	/** Number of stand-ins in one child process; 0: all run in this process. */
	readonly endpointsPerProcess: number;
	readonly disposables: DisposableStore;
};

export type HostedEndpoint = {
	readonly control: EndpointControl;
	/** The child process, shared with other endpoints unless there is one for each. */
	readonly process?: FleetProcess;
};

type NamedSettings = {readonly name: string; readonly port?: number};

const mainPaths: Readonly<Record<EndpointKind, string>> = {
	engine: fileURLToPath(new URL('../engine-main.js', import.meta.url)),
	plain: fileURLToPath(new URL('../plain-service-main.js', import.meta.url)),
};

const startByKind: Readonly<Record<EndpointKind, (settings: NamedSettings) => Promise<Engine | PlainService>>> = {
	engine: async settings => Engine.start(settings),
	plain: async settings => PlainService.start(settings),
};

function withNames(settings: Readonly<Record<string, Record<string, unknown>>>): NamedSettings[] {
	return Object.entries(settings).map(([name, item]) => ({...item, name}));
}

function chunk<Item>(items: readonly Item[], size: number): Item[][] {
	return Array.from({length: Math.ceil(items.length / size)}, (_, index) => items.slice(index * size, (index + 1) * size));
}

async function hostInProcess(kind: EndpointKind, settings: NamedSettings, options: EndpointHostOptions): Promise<HostedEndpoint> {
	const standIn = options.disposables.add(await startByKind[kind](settings));
	return {control: EndpointControl.create({name: settings.name, kind, address: standIn.address})};
}

async function hostInChildProcess(kind: EndpointKind, group: readonly NamedSettings[], options: EndpointHostOptions): Promise<HostedEndpoint[]> {
	const name = group.map(settings => settings.name).join('+').slice(0, 80);
	const settingsPath = path.join(options.directory, `${name}.json`);
	writeFileSync(settingsPath, JSON.stringify(group));
	const process = options.disposables.add(FleetProcess.start({
		name, mainPath: mainPaths[kind], arguments: ['--settings', settingsPath], logPath: path.join(options.directory, `${name}.log`),
	}));
	await process.waitForEvent('ready');
	const addresses = process.startupEvents.filter(({event}) => event === 'listening').map(({address}) => address!);
	return group.map((settings, index) => ({
		control: EndpointControl.create({name: settings.name, kind, address: addresses[index]!}), process,
	}));
}

async function hostKind(kind: EndpointKind, settings: readonly NamedSettings[], options: EndpointHostOptions): Promise<HostedEndpoint[]> {
	if (options.endpointsPerProcess === 0) {
		return Promise.all(settings.map(async item => hostInProcess(kind, item, options)));
	}

	const groups = chunk(settings, options.endpointsPerProcess);
	const hosted = await Promise.all(groups.map(async group => hostInChildProcess(kind, group, options)));
	return hosted.flat();
}

/** Starts all endpoints. They are disposed of with `options.disposables`. */
export async function hostEndpoints(options: EndpointHostOptions): Promise<ReadonlyMap<string, HostedEndpoint>> {
	const {engines, plainServices} = options.deployment;
	const hosted = await Promise.all([
		hostKind('engine', withNames(engines), options),
		hostKind('plain', withNames(plainServices), options),
	]);
	return new Map(hosted.flat().map(endpoint => [endpoint.control.name, endpoint]));
}
