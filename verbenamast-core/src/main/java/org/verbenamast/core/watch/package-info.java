/** How a node follows tables of the store: one full reading, then calls that wait for changes. */
package org.verbenamast.core.watch;
