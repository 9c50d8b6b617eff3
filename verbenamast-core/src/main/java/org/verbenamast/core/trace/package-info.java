/** A bounded log of the latest transitions of a node's charts, for operators. */
package org.verbenamast.core.trace;
