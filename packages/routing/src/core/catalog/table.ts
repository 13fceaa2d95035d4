/** Finds the route of a request in one version of the configuration. */
import type { AccountLookup, ClientAccount } from '../accounts/index.js';
import type { Route, RoutingDocument, UpstreamService } from './types.js';

/** The routes of one document, ready for look-ups. */
export class RouteTable implements AccountLookup {
  private readonly byHost = new Map<string, Route[]>();

  private readonly services = new Map<string, UpstreamService>();

  private readonly accountsByKey = new Map<string, ClientAccount>();

  private readonly accountsByName = new Map<string, ClientAccount>();

  /**
   * Indexes a document.
   * @param document - The configuration.
   */
  constructor(readonly document: RoutingDocument) {
    for (const route of document.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
    }
    for (const routes of this.byHost.values())
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    for (const service of document.services) this.services.set(service.name, service);
    for (const account of document.accounts ?? []) {
      this.accountsByName.set(account.name, account);
      for (const digest of account.keyDigests) this.accountsByKey.set(digest, account);
    }
  }

  /**
   * Finds the route with the longest prefix of a path.
   * @param host - Host without its port.
   * @param path - Path without its query.
   * @returns The route, or undefined when none matches.
   */
  match(host: string, path: string): Route | undefined {
    return this.byHost.get(host.toLowerCase())?.find((route) => path.startsWith(route.prefix));
  }

  get hasAccounts(): boolean {
    return this.document.accounts !== undefined;
  }

  accountOf(keyDigest: string): ClientAccount | undefined {
    return this.accountsByKey.get(keyDigest);
  }

  /**
   * Finds an account.
   * @param name - Its name.
   * @returns The account, or undefined when the document has none of that name.
   */
  account(name: string): ClientAccount | undefined {
    return this.accountsByName.get(name);
  }

  /**
   * Finds a service.
   * @param name - Its name.
   * @returns The service, or undefined when the document has none of that name.
   */
  service(name: string): UpstreamService | undefined {
    return this.services.get(name);
  }
}
