import test from 'ava';
import {Admission} from '../../../src/gateway/callers/admission.js';
import type {CallerRequestMetadata} from '../../../src/gateway/callers/types.js';
import {WorkspaceQuotas} from '../../../src/gateway/limits/workspace-quotas.js';
import {Freshness} from '../../../src/gateway/site/freshness.js';
import {SiteState} from '../../../src/gateway/site/site-state.js';
import type {SiteConfiguration} from '../../../src/gateway/site/types.js';
import {
	bounds, createRoute, createSiteConfiguration, createSnapshot, createWorkspace,
} from '../../fixtures/gateway/documents.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

const metadata: CallerRequestMetadata = {
	sharedPromptParts: [],
	requestId: 'r', host: 'office.example', remainingMs: 1000, key: 'key-wick',
};

function createAdmission(configuration: SiteConfiguration | undefined = createSiteConfiguration()) {
	const clock = ManualClock.create(1000);
	const site = SiteState.create();
	site.apply(createSnapshot({configuration}), 1000, 1000);
	const quotas = WorkspaceQuotas.create({bounds, now: 1000});
	quotas.configure(configuration?.workspaces ?? [], 1000);
	return {
		clock, site, admission: Admission.create({
			site, freshness: Freshness.create(5000), quotas, clock, withhold: () => undefined, random: () => 0,
		}),
	};
}

test('a valid request is admitted with the tier of its route, or of its workspace if that has one', t => {
	t.like(createAdmission().admission.decide(metadata, '/summaries/1', 1000), {
		kind: 'admitted', service: 'assistant', tier: 0, version: 1,
	});
	const configuration = createSiteConfiguration({workspaces: [createWorkspace({tier: 3})]});
	t.like(createAdmission(configuration).admission.decide(metadata, '/summaries/1', 1000), {tier: 3});
});

const refusals: Array<[string, Partial<CallerRequestMetadata>, string, string]> = [
	['without an id', {requestId: undefined}, '/summaries/1', 'missingRequestId'],
	['for an unknown route', {}, '/elsewhere/', 'unknownRoute'],
	['with an unknown key', {key: 'guess'}, '/summaries/1', 'unknownKey'],
	['without a key', {key: undefined}, '/summaries/1', 'unknownKey'],
];

for (const [what, values, path, type] of refusals) {
	test(`a request ${what} is refused with ${type}`, t => {
		t.like(createAdmission().admission.decide({...metadata, ...values}, path, 1000), {kind: 'rejected', failure: {type}});
	});
}

test('a route that allows anonymous callers needs no key', t => {
	const configuration = createSiteConfiguration({routes: [createRoute({allowsAnonymous: true})]});
	t.like(createAdmission(configuration).admission.decide({...metadata, key: undefined}, '/summaries/1', 1000), {kind: 'admitted'});
});

// Guards against a key that was taken away, and is therefore unknown, counting as no key where none is needed.
test('a request with an unknown key is refused on a route that allows anonymous callers', t => {
	const configuration = createSiteConfiguration({routes: [createRoute({allowsAnonymous: true})]});
	for (const key of ['guess', '']) {
		t.like(createAdmission(configuration).admission.decide({...metadata, key}, '/summaries/1', 1000), {kind: 'rejected', failure: {type: 'unknownKey'}});
	}
});

test('a request with a known key belongs to its workspace on a route that allows anonymous callers', t => {
	const quota = {
		unit: 'requests', perSecond: 1, burst: 1, defaultTokens: 0,
	} as const;
	const configuration = createSiteConfiguration({routes: [createRoute({allowsAnonymous: true})], workspaces: [createWorkspace({quota})]});
	const {admission, clock} = createAdmission(configuration);
	clock.advance(5000);
	t.like(admission.decide(metadata, '/summaries/1', 1000), {kind: 'admitted', workspace: {name: 'wick'}, units: 1});
});

// Guards against a key that counts as no key again once the workspaces have been removed, the last of them with it.
test('a request with a key is refused when the list of workspaces is empty, and served when the configuration has no such list', t => {
	const decide = (workspaces: SiteConfiguration['workspaces'], key: string | undefined) =>
		createAdmission(createSiteConfiguration({workspaces})).admission.decide({...metadata, key}, '/summaries/1', 1000);
	t.like(decide([], 'key-wick'), {kind: 'rejected', failure: {type: 'unknownKey'}});
	t.like(decide([], undefined), {kind: 'admitted'});
	t.like(decide(undefined, 'key-wick'), {kind: 'admitted'});
});

test('without a configuration, or with one that is too old, a request is refused as not run instead of as an unknown route', t => {
	const clock = ManualClock.create(0);
	const empty = Admission.create({
		site: SiteState.create(), freshness: Freshness.create(5000), quotas: WorkspaceQuotas.create({bounds, now: 0}), clock, withhold: () => undefined, random: () => 0,
	});
	t.like(empty.decide(metadata, '/summaries/1', 0), {failure: {type: 'noConfiguration'}});
	t.like(createAdmission().admission.decide(metadata, '/summaries/1', 7000), {failure: {type: 'stale'}});
});

test('a request beyond the quota is told when to retry', t => {
	const quota = {
		unit: 'tokens', perSecond: 1000, burst: 1000, defaultTokens: 200,
	} as const;
	const {admission} = createAdmission(createSiteConfiguration({workspaces: [createWorkspace({quota})]}));
	const result = admission.decide({...metadata, tokens: {prompt: 5000, output: 100}}, '/summaries/1', 1000);
	t.like(result, {failure: {type: 'quotaExceeded'}, units: 5100});
	t.true(result.kind === 'rejected' && result.failure.retryAfterMs! >= 200);
});
