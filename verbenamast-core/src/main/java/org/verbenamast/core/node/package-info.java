/** All decisions of one node. Begin with {@link org.verbenamast.core.node.NodeCore}. */
package org.verbenamast.core.node;
