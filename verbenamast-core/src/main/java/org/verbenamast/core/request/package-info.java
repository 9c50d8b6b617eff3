/** A request at the member that took it from its caller: routing, retries and hedges. Chart {@code entry}. */
package org.verbenamast.core.request;
