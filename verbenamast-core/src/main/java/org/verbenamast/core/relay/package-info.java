/**
 * Combines the controllers of a node that relays requests on the users' platform, with its rows, heartbeats and
 * manifest.
 */
package org.verbenamast.core.relay;
