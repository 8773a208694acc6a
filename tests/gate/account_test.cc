#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "gate/gate_account.h"
#include "util/mem.h"

/* Accounts of a configuration: their keys are hashed, found and distinct. */
class GateAccount : public ::testing::Test {
      protected:
	const uint8_t secret[GW_KEY_SECRET_BYTES] = {1, 2, 3};
	gw_config *config = nullptr;
	mp_error err = {};

	void
	TearDown() override
	{
		gw_config_destroy(config);
	}

	struct Account {
		std::string name;
		std::vector<std::string> keys;
	};

	static void
	Fill(gw_account &a, const Account &from)
	{
		a.name = mem_string(from.name.c_str());
		a.plain_keys =
		    (char **)mem_alloc(from.keys.size() + 1, sizeof(char *));
		for (auto &key : from.keys)
			a.plain_keys[a.nkeys++] = mem_string(key.c_str());
	}

	void
	Make(const std::vector<Account> &accounts)
	{
		gw_config_destroy(config);
		config = (gw_config *)mem_alloc(1, sizeof(*config));
		config->has_accounts = true;
		config->accounts = (gw_account **)mem_alloc(
		    accounts.size() + 1, sizeof(gw_account *));
		for (auto &a : accounts) {
			config->accounts[config->naccounts] =
			    (gw_account *)mem_alloc(1, sizeof(gw_account));
			Fill(*config->accounts[config->naccounts++], a);
		}
	}

	/* The name of the account that has a key, or "(none)". */
	std::string
	Find(const char *key)
	{
		gw_key_hash hash = {};
		const gw_account *a =
		    gw_config_find_account_by_key(config, key, &hash);

		EXPECT_EQ(a, gw_config_find_account_by_hash(config, &hash));
		return a == nullptr ? "(none)" : a->name;
	}
};

/* Guards against quotas that are not applied after a change of accounts. */
TEST_F(GateAccount, each_change_of_accounts_has_another_number)
{
	uint64_t number;

	Make({{"a", {"k1"}}});
	EXPECT_EQ(gw_config_accounts_number(config), 0u);
	gw_config_hash_keys(config, secret);
	number = gw_config_accounts_number(config);
	EXPECT_GT(number, 0u);
	gw_config_index_accounts(config);
	EXPECT_GT(gw_config_accounts_number(config), number);
}

TEST_F(GateAccount, accounts_are_found_by_key_hash_and_name)
{
	std::vector<Account> many;

	for (int i = 0; i < 300; i++)
		many.push_back({"n" + std::to_string(i),
		    {"k" + std::to_string(i), "old" + std::to_string(i)}});
	Make(many);
	gw_config_hash_keys(config, secret);
	ASSERT_EQ(gw_config_check(config, &err), MP_OK) << err.message;
	for (int i = 0; i < 300; i++) {
		std::string name = "n" + std::to_string(i);

		EXPECT_EQ(Find(("k" + std::to_string(i)).c_str()), name);
		EXPECT_EQ(Find(("old" + std::to_string(i)).c_str()), name);
		EXPECT_EQ(gw_config_find_account_by_name(config, name.c_str()),
		    config->accounts[i]);
	}
	for (const char *key : {"", "k", "k300", "K1", "k1 ", "n1"})
		EXPECT_EQ(Find(key), "(none)") << key;
	EXPECT_EQ(gw_config_find_account_by_name(config, "n300"), nullptr);
}

/*
 * Guards against keys that stay readable in memory, and against hashes that
 * are the same in every process and so could be looked up in a table.
 */
TEST_F(GateAccount, keys_are_replaced_by_hashes_of_this_process)
{
	const uint8_t other[GW_KEY_SECRET_BYTES] = {9};
	gw_key_hash first;

	Make({{"a", {"key"}}});
	EXPECT_EQ(Find("key"), "(none)"); /* not hashed yet */
	gw_config_hash_keys(config, secret);
	EXPECT_EQ(config->accounts[0]->plain_keys, nullptr);
	first = config->accounts[0]->keys[0];
	Make({{"a", {"key"}}});
	gw_config_hash_keys(config, other);
	EXPECT_NE(
	    memcmp(&first, &config->accounts[0]->keys[0], sizeof(first)), 0);
}

/* A change replaces some accounts; the others keep their hashes. */
TEST_F(GateAccount, changed_accounts_are_hashed_beside_the_others)
{
	Make({{"a", {"k1"}}, {"b", {"k2"}}});
	gw_config_hash_keys(config, secret);
	gw_account_clear(config->accounts[1]);
	Fill(*config->accounts[1], {"c", {"k3"}});
	EXPECT_EQ(gw_config_check(config, &err), MP_OK) << err.message;
	gw_config_hash_keys(config, secret);
	EXPECT_EQ(Find("k1"), "a");
	EXPECT_EQ(Find("k2"), "(none)");
	EXPECT_EQ(Find("k3"), "c");
	gw_account_clear(config->accounts[1]);
	Fill(*config->accounts[1], {"c", {"k1"}});
	EXPECT_EQ(gw_config_check(config, &err), MP_ERR_INVALID);
}

TEST_F(GateAccount, accounts_that_are_not_distinct_are_refused)
{
	static const struct {
		std::vector<Account> accounts;
		const char *fault; /* NULL: valid */
	} rows[] = {
	    {{}, nullptr},
	    {{{"a", {}}}, nullptr},
	    {{{"a", {"k1", "k1"}}}, nullptr},
	    {{{"a", {"k1"}}, {"b", {"k2"}}}, nullptr},
	    {{{"a", {"k1"}}, {"A", {"K1"}}}, nullptr},
	    {{{"a", {"k1"}}, {"b", {"k2"}}, {"c", {"k3", "k1"}}},
		"$.tenants[2]: the same key as $.tenants[0]"},
	    {{{"a", {"k1"}}, {"b", {"k2"}}, {"a", {}}},
		"$.tenants[2]: the same name as $.tenants[0]"},
	    {{{"a", {}}, {"", {}}}, "$.tenants[1].name"},
	    {{{"a\r\nX: 1", {}}}, "$.tenants[0].name"},
	    {{{std::string(257, 'n'), {}}}, "$.tenants[0].name"},
	    {{{std::string(256, 'n'), {}}}, nullptr},
	};

	for (auto &row : rows)
		for (bool hashed : {false, true}) {
			Make(row.accounts);
			if (hashed)
				gw_config_hash_keys(config, secret);
			err = {};
			EXPECT_EQ(gw_config_check(config, &err),
			    row.fault == nullptr ? MP_OK : MP_ERR_INVALID)
			    << err.message;
			if (row.fault != nullptr) {
				EXPECT_EQ(
				    std::string(err.message).find(row.fault),
				    0u)
				    << err.message;
			}
			EXPECT_EQ(std::string(err.message).find("k1"),
			    std::string::npos)
			    << "a key in a message: " << err.message;
		}
}
