/** Look-ups in one version of the configuration. */
import type { AccountLookup, ClientAccount } from '../accounts/index.js';
import type { Route, RoutingDocument, UpstreamService } from './types.js';

/** Indexes the routes, services and client accounts of a document. */
export class RouteTable implements AccountLookup {
  private readonly routesByHost = new Map<string, Route[]>();

  private readonly services = new Map<string, UpstreamService>();

  private readonly accountsByKey = new Map<string, ClientAccount>();

  private readonly accountsByName = new Map<string, ClientAccount>();

  constructor(readonly document: RoutingDocument) {
    for (const route of document.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    }
    for (const routes of this.routesByHost.values())
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    for (const service of document.services) this.services.set(service.name, service);
    for (const account of document.accounts ?? []) {
      this.accountsByName.set(account.name, account);
      for (const digest of account.keyDigests) this.accountsByKey.set(digest, account);
    }
  }

  /**
   * Finds the route of a host with the longest matching path prefix.
   * @param host - Host without its port.
   * @param path - Path without its query.
   */
  match(host: string, path: string): Route | undefined {
    return this.routesByHost.get(host.toLowerCase())?.find((route) => path.startsWith(route.prefix));
  }

  get hasAccounts(): boolean {
    return this.document.accounts !== undefined;
  }

  accountOf(keyDigest: string): ClientAccount | undefined {
    return this.accountsByKey.get(keyDigest);
  }

  /** Returns the account with this name, or undefined when the document has none. */
  account(name: string): ClientAccount | undefined {
    return this.accountsByName.get(name);
  }

  /** Returns the service with this name, or undefined when the document has none. */
  service(name: string): UpstreamService | undefined {
    return this.services.get(name);
  }
}
