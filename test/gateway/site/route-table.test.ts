import test from 'ava';
import {chooseTarget, RouteTable} from '../../../src/gateway/site/route-table.js';
import {createRoute, createSiteConfiguration, createWorkspace} from '../../fixtures/gateway/documents.js';

test('of the routes of a host, the one with the longest matching prefix is found', t => {
	const table = RouteTable.create(createSiteConfiguration({
		routes: [createRoute({name: 'short', pathPrefix: '/a/'}), createRoute({name: 'long', pathPrefix: '/a/b/'}), createRoute({name: 'other', host: 'other.example', pathPrefix: '/a/b/c/'})],
	}));
	t.is(table.findRoute('office.example', '/a/b/c/d')?.name, 'long');
	t.is(table.findRoute('office.example', '/a/x')?.name, 'short');
	t.is(table.findRoute('office.example', '/ab/')?.name, undefined);
	t.is(table.findRoute('unknown.example', '/a/')?.name, undefined);
});

test('finds the workspace that holds a key', t => {
	const table = RouteTable.create(createSiteConfiguration({workspaces: [createWorkspace({name: 'wick', keys: ['k1', 'k2']})]}));
	t.is(table.findWorkspaceByKey('k2')?.name, 'wick');
	t.is(table.findWorkspaceByKey('k3'), undefined);
});

test('targets are chosen by weight, and a target of weight 0 is never chosen', t => {
	const route = createRoute({targets: [{service: 'none', weight: 0}, {service: 'many', weight: 90}, {service: 'few', weight: 10}]});
	t.is(chooseTarget(route, 0), 'many');
	t.is(chooseTarget(route, 0.89), 'many');
	t.is(chooseTarget(route, 0.91), 'few');
	t.is(chooseTarget(createRoute({targets: []}), 0.5), undefined);
});
