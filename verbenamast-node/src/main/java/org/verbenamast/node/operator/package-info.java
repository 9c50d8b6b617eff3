/** The HTTP front for operators, scrapers and the backend server. */
package org.verbenamast.node.operator;
