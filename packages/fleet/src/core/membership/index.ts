/** The hosts of the fleet as one daemon knows them, and how current that view is. */
export { CONFIRMING_SHARE, createMembership } from './membership.js';
export { chooseNeighbours } from './neighbours.js';
export { DEFAULT_MEMBERSHIP_SETTINGS } from './settings.js';
export type {
  ManagedMembership,
  Membership,
  MembershipOptions,
  MembershipSettings,
  ViewAgreement,
} from './types.js';
