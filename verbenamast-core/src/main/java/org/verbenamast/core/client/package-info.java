/** Bounds what clients can make the process hold: connections, heads, bodies, and answers that they don't read. */
package org.verbenamast.core.client;
