/** Drives the decisions on the one event loop. */
package org.verbenamast.node.loop;
