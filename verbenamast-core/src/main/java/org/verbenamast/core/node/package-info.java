/** Connects the controllers of one node. Start reading at {@link org.verbenamast.core.node.NodeCore}. */
package org.verbenamast.core.node;
