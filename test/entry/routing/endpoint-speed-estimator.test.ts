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

test('the estimated speed approaches the observed speed', t => {
	const estimator = EndpointSpeedEstimator.create(ManualClock.create());
	observeRepeatedly(estimator, 'engine-1', 40);
	const {baseFirstTokenMs, millisecondsPerPromptToken, millisecondsPerOutputToken} = estimator.speed('engine-1');
	t.true(Math.abs(millisecondsPerOutputToken - 40) < 1);
	t.true(Math.abs(baseFirstTokenMs + (100 * millisecondsPerPromptToken) - 70) < 5);
});

// Guards against an endpoint that was slow once and never gets a request again.
test('the estimate of an endpoint without new observations approaches the mean of the other endpoints', t => {
	const clock = ManualClock.create();
	const estimator = EndpointSpeedEstimator.create(clock);
	observeRepeatedly(estimator, 'engine-1', 100);
	observeRepeatedly(estimator, 'engine-2', 20);
	const endpoints = ['engine-1', 'engine-2'];
	t.true(estimator.speed('engine-1', endpoints).millisecondsPerOutputToken > 99);
	clock.advance(30_000);
	t.true(Math.abs(estimator.speed('engine-1', endpoints).millisecondsPerOutputToken - 60) < 1);
	clock.advance(300_000);
	t.true(estimator.speed('engine-1', endpoints).millisecondsPerOutputToken < 21);
});

test('an endpoint without observations has the mean speed of the other endpoints', t => {
	const estimator = EndpointSpeedEstimator.create(ManualClock.create());
	observeRepeatedly(estimator, 'engine-1', 10);
	observeRepeatedly(estimator, 'engine-2', 30);
	t.true(Math.abs(estimator.speed('engine-3', ['engine-1', 'engine-2', 'engine-3']).millisecondsPerOutputToken - 20) < 1);
});
