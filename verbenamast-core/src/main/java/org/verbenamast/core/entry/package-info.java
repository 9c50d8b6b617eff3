/**
 * The relay's request path at the entry node, for callers on the users' platform: selects a server for each request,
 * decides on retries, and settles the outcome. The path of the product's own interface is {@code core.request}.
 */
package org.verbenamast.core.entry;
