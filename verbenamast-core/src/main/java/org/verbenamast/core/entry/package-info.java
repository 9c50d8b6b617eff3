/** Requests at the node that took them from their callers: where they go, whether they go again, how they end. */
package org.verbenamast.core.entry;
