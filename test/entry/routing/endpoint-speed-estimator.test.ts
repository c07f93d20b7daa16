import test from 'ava';
import {EndpointSpeedEstimator, type ResponseObservation} from '../../../src/entry/routing/index.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

function createObservation(millisecondsPerOutputToken: number): ResponseObservation {
	return {
		uncachedPromptTokens: 100, outputTokens: 101, firstTokenMs: 70, decodeMs: 100 * millisecondsPerOutputToken,
	};
}

function observeRepeatedly(estimator: EndpointSpeedEstimator, endpoint: string, millisecondsPerOutputToken: number): void {
	for (let index = 0; index < 60; index++) {
		estimator.observe(endpoint, createObservation(millisecondsPerOutputToken));
	}
}

test('the speed follows what is observed', t => {
	const observer = EndpointSpeedEstimator.create(ManualClock.create());
	observeRepeatedly(observer, 'engine-1', 40);
	const {baseFirstTokenMs, millisecondsPerPromptToken, millisecondsPerOutputToken} = observer.speed('engine-1');
	t.true(Math.abs(millisecondsPerOutputToken - 40) < 1);
	t.true(Math.abs(baseFirstTokenMs + (100 * millisecondsPerPromptToken) - 70) < 5);
});

// Guards against an endpoint that was slow once and is never tried again.
test('an endpoint without observations approaches the mean of its peers', t => {
	const clock = ManualClock.create();
	const observer = EndpointSpeedEstimator.create(clock);
	observeRepeatedly(observer, 'engine-1', 100);
	observeRepeatedly(observer, 'engine-2', 20);
	const peers = ['engine-1', 'engine-2'];
	t.true(observer.speed('engine-1', peers).millisecondsPerOutputToken > 99);
	clock.advance(30_000);
	t.true(Math.abs(observer.speed('engine-1', peers).millisecondsPerOutputToken - 60) < 1);
	clock.advance(300_000);
	t.true(observer.speed('engine-1', peers).millisecondsPerOutputToken < 21);
});

test('an unknown endpoint has the mean speed of its peers', t => {
	const observer = EndpointSpeedEstimator.create(ManualClock.create());
	observeRepeatedly(observer, 'engine-1', 10);
	observeRepeatedly(observer, 'engine-2', 30);
	t.true(Math.abs(observer.speed('engine-3', ['engine-1', 'engine-2', 'engine-3']).millisecondsPerOutputToken - 20) < 1);
});
