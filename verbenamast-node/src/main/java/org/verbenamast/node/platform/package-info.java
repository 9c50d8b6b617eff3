/** The client of the platform's table service. */
package org.verbenamast.node.platform;
