/** Services for operators: status of all parts, questions about the fleet, and the listener. */
import type { AuditTrail, Metrics, Service } from '@celeryyoke/core';
import type {
  ConfigDistribution,
  Custody,
  EngineOwners,
  KeyLedger,
  ManagedMembership,
  PeerBus,
  SuspectRegistry,
} from '@celeryyoke/fleet';
import { HostRole } from '@celeryyoke/platform';
import type { CallerServer } from '@celeryyoke/serving';

import { createAdminServer } from '../../admin/index.js';
import type { AdminServer } from '../../admin/index.js';
import type { FleetQuestions, StatusBoard } from '../../status/index.js';
import { createFleetQuestions, createStatusBoard } from '../../status/index.js';
import { Part } from '../names.js';
import type { PartOptions } from '../types.js';
import type { Readiness } from './readiness.js';

/** What operators may ask. */
export interface OperatorAccess {
  readonly board: StatusBoard;
  readonly questions: FleetQuestions;
}

function addConfigSection(board: StatusBoard, distribution: ConfigDistribution): void {
  board.add({ name: 'config', collect: () => distribution.status() });
}

function addMembershipSection(board: StatusBoard, membership: ManagedMembership, bus: PeerBus): void {
  board.add({
    name: 'hosts',
    collect: () =>
      membership.hosts(HostRole.Entry).map((host) => ({
        host: host.name,
        domain: host.domain,
        state: host.state,
        reachable: host.name === bus.self.name || membership.isReachable(host.name),
        listAgeMs: Math.round(membership.ageMs()),
      })),
  });
}

function addEngineSection(board: StatusBoard, owners: EngineOwners): void {
  board.add({
    name: 'engines',
    collect: () =>
      owners.ownedEngines().map((engine) => ({
        ...engine,
        slots: engine.slots.map((slot) => `${slot.key}:${slot.state}:${slot.running}`),
      })),
  });
}

function addRequestSection(board: StatusBoard, server: CallerServer): void {
  board.add({ name: 'requests', collect: () => ({ inFlight: server.inFlight() }) });
}

function addCustodySection(board: StatusBoard, custody: Custody, keys: KeyLedger): void {
  board.add({ name: 'custody', collect: () => ({ ...custody.status(), records: keys.size() }) });
}

function addQuarantineSection(board: StatusBoard, suspects: SuspectRegistry): void {
  board.add({
    name: 'quarantines',
    collect: () =>
      suspects.quarantines().map(({ fingerprint, upstreams, remainingMs }) => ({
        fingerprint,
        upstreams: [...upstreams],
        remainingMs: Math.round(remainingMs),
      })),
  });
}

function statusService({ beginDrain }: PartOptions): Service<OperatorAccess> {
  return {
    name: Part.Status,
    needs: [
      Part.Distribution,
      Part.Membership,
      Part.Bus,
      Part.Engines,
      Part.Callers,
      Part.Custody,
      Part.Keys,
      Part.Suspects,
    ],
    start(kernel) {
      const board = createStatusBoard();
      const bus = kernel.get<PeerBus>(Part.Bus);
      const membership = kernel.get<ManagedMembership>(Part.Membership);
      const server = kernel.get<CallerServer>(Part.Callers);
      addConfigSection(board, kernel.get<ConfigDistribution>(Part.Distribution));
      addMembershipSection(board, membership, bus);
      addEngineSection(board, kernel.get<EngineOwners>(Part.Engines));
      addRequestSection(board, server);
      addCustodySection(board, kernel.get<Custody>(Part.Custody), kernel.get<KeyLedger>(Part.Keys));
      addQuarantineSection(board, kernel.get<SuspectRegistry>(Part.Suspects));
      const explain = (id: string): unknown => server.requests.find(id);
      return { board, questions: createFleetQuestions({ bus, membership, board, explain, beginDrain }) };
    },
  };
}

function adminService(options: PartOptions): Service<AdminServer> {
  let server: AdminServer | undefined;
  return {
    name: Part.Admin,
    needs: [Part.Status, Part.Metrics, Part.Audit, Part.Readiness],
    start(kernel) {
      server = createAdminServer({
        log: options.log.part('operators'),
        metrics: options.settings.metrics ? kernel.get<Metrics>(Part.Metrics) : undefined,
        audit: kernel.get<AuditTrail>(Part.Audit),
        questions: kernel.get<OperatorAccess>(Part.Status).questions,
        unready: kernel.get<Readiness>(Part.Readiness),
      });
      return server;
    },
    stop: () => server?.close(),
  };
}

/**
 * Makes the services.
 * @param options - The daemon's options.
 * @returns The services, in no particular order.
 */
export function operatorServices(options: PartOptions): Service[] {
  return [statusService(options), adminService(options)];
}
